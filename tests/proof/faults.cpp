#include "proof/faults.h"

namespace peridotfall::proof {

namespace {

constexpr auto OnlyPlatform = "a fault of the platform alone";

} // namespace

std::string toString(FaultKind it) {
  switch (it) {
  case FaultKind::Kill:
    return "kill";
  case FaultKind::Freeze:
    return "freeze and resume";
  case FaultKind::CutBothWays:
    return "cut both ways";
  case FaultKind::CutOneWay:
    return "cut one way";
  case FaultKind::SlowLink:
    return "slow link";
  case FaultKind::AnswersLate:
    return "answers late";
  case FaultKind::AnswersLost:
    return "answers lost";
  case FaultKind::AnswersDoubled:
    return "answers doubled";
  case FaultKind::AnswersCrossed:
    return "answers crossed";
  case FaultKind::PlatformDown:
    return "platform down";
  case FaultKind::PlatformSlow:
    return "platform slow";
  case FaultKind::PlatformAnswersLost:
    return "platform answers lost after effect";
  case FaultKind::LaggingReplica:
    return "lagging replica";
  case FaultKind::LaggingList:
    return "lagging list of VMs";
  case FaultKind::OperatorsRacing:
    return "operators racing";
  case FaultKind::LeaderPaused:
    return "paused holder of a duty";
  }
  return "";
}

std::string toString(FaultLocation it) {
  switch (it) {
  case FaultLocation::Entry:
    return "entry";
  case FaultLocation::Owner:
    return "owner";
  case FaultLocation::Primary:
    return "primary";
  case FaultLocation::Replica:
    return "replica";
  case FaultLocation::Platform:
    return "platform";
  case FaultLocation::RegionLink:
    return "region link";
  }
  return "";
}

std::string whyImpossible(const Fault &it) {
  switch (it.Kind) {
  case FaultKind::Kill:
  case FaultKind::Freeze:
    if (it.Location == FaultLocation::RegionLink)
      return "a link is no process: see cut both ways";
    if (it.Location == FaultLocation::Platform)
      return "the platform is not ours to end: see platform down and slow";
    return "";
  case FaultKind::AnswersCrossed:
    if (it.Location == FaultLocation::Platform)
      return "no statement's answer comes from the platform";
    if (it.Location == FaultLocation::Entry)
      return "an entry answers on the stream of the request alone";
    return "";
  case FaultKind::PlatformDown:
  case FaultKind::PlatformSlow:
  case FaultKind::PlatformAnswersLost:
  case FaultKind::LaggingList:
  case FaultKind::OperatorsRacing:
    return it.Location == FaultLocation::Platform ? "" : OnlyPlatform;
  case FaultKind::LaggingReplica:
    return it.Location == FaultLocation::Replica ? "" : "only a replica lags";
  case FaultKind::LeaderPaused:
    return it.Location == FaultLocation::Owner ? ""
                                               : "only an owner holds a duty";
  default:
    return "";
  }
}

std::vector<Fault> possibleFaults() {
  std::vector<Fault> out;
  for (int kind = 0; kind < FaultKindCount; ++kind)
    for (int location = 0; location < FaultLocationCount; ++location) {
      Fault it{static_cast<FaultKind>(kind),
               static_cast<FaultLocation>(location)};
      if (whyImpossible(it).empty())
        out.push_back(it);
    }
  return out;
}

} // namespace peridotfall::proof
