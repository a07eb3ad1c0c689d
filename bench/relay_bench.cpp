// Time until a configuration change is in force at 1,700 daemons, in virtual
// time: the daemons' relay tree and comparisons over a simulated network.

#include "config/relay_fake.h"

#include <fmt/format.h>
#include <iostream>

using namespace peridotfall::fake;

namespace {

void printRow(const char *name, const RelayOptions &options) {
  auto out = RelayRun(options).run();
  const auto &it = out.ReachedAt;
  std::cout << fmt::format(
      "{:<34} {:>5}/{:<5} {:>7} {:>7} {:>7} {:>9} {:>9}\n", name, it.size(),
      out.Alive, it[it.size() / 2].count(), it[it.size() * 99 / 100].count(),
      out.last().count(), out.Messages, out.MaxSent);
}

} // namespace

int main() {
  std::cout << "one change, 1,700 daemons in 7 failure domains, 8 ms one way; "
               "ms of virtual time over 20 s\n";
  std::cout << fmt::format("{:<34} {:>11} {:>7} {:>7} {:>7} {:>9} {:>9}\n", "",
                           "reached", "median", "p99", "last", "messages",
                           "most sent");
  RelayOptions options;
  printRow("14 watchers", options);
  options.Dead = 0.05;
  printRow("14 watchers, 5% dead", options);
  options.Watchers = 1;
  printRow("1 watcher, 5% dead", options);
  options.Dead = 0.2;
  printRow("1 watcher, 20% dead", options);
  options.Dead = 0.05;
  options.AdoptChildren = false;
  printRow("1 watcher, 5% dead, none adopted", options);
  options.Compare = false;
  printRow("  and no comparisons", options);
  return 0;
}
