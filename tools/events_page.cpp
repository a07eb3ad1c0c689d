// Prints docs/EVENTS.md.

#include "telemetry/events_page.h"

#include <iostream>

int main() {
  std::cout << peridotfall::telemetry::eventsPage();
  return 0;
}
