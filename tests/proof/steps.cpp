#include "proof/steps.h"

namespace peridotfall::proof {

std::string toString(Step it) {
  switch (it) {
  case Step::Queued:
    return "queued";
  case Step::Sent:
    return "sent";
  case Step::Committed:
    return "committed";
  case Step::Confirmed:
    return "confirmed";
  case Step::Answered:
    return "answered";
  case Step::Nominated:
    return "nominated";
  case Step::OneFenced:
    return "one fenced";
  case Step::MajorityFenced:
    return "majority fenced";
  case Step::Promoted:
    return "promoted";
  case Step::Published:
    return "published";
  case Step::ConfigurationWritten:
    return "configuration written";
  case Step::ConfigurationPassedOn:
    return "configuration passed on";
  case Step::ConfigurationHalfInForce:
    return "configuration half in force";
  case Step::Draining:
    return "draining";
  }
  return "";
}

} // namespace peridotfall::proof
