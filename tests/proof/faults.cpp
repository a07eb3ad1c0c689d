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
  case FaultKind::HolderPaused:
    return "paused holder of a duty";
  }
  return "";
}

std::string toString(FaultPlace it) {
  switch (it) {
  case FaultPlace::Entry:
    return "entry";
  case FaultPlace::Owner:
    return "owner";
  case FaultPlace::Primary:
    return "primary";
  case FaultPlace::Replica:
    return "replica";
  case FaultPlace::Platform:
    return "platform";
  case FaultPlace::RegionLink:
    return "region link";
  }
  return "";
}

std::string whyImpossible(const Fault &it) {
  switch (it.Kind) {
  case FaultKind::Kill:
  case FaultKind::Freeze:
    if (it.Place == FaultPlace::RegionLink)
      return "a link is no process: see cut both ways";
    if (it.Place == FaultPlace::Platform)
      return "the platform is not ours to end: see platform down and slow";
    return "";
  case FaultKind::AnswersCrossed:
    if (it.Place == FaultPlace::Platform)
      return "no statement's answer comes from the platform";
    if (it.Place == FaultPlace::Entry)
      return "an entry answers on the stream of the request alone";
    return "";
  case FaultKind::PlatformDown:
  case FaultKind::PlatformSlow:
  case FaultKind::PlatformAnswersLost:
  case FaultKind::LaggingList:
  case FaultKind::OperatorsRacing:
    return it.Place == FaultPlace::Platform ? "" : OnlyPlatform;
  case FaultKind::LaggingReplica:
    return it.Place == FaultPlace::Replica ? "" : "only a replica lags";
  case FaultKind::HolderPaused:
    return it.Place == FaultPlace::Owner ? "" : "only an owner holds a duty";
  default:
    return "";
  }
}

std::vector<Fault> possibleFaults() {
  std::vector<Fault> out;
  for (int kind = 0; kind < FaultKindCount; ++kind)
    for (int place = 0; place < FaultPlaceCount; ++place) {
      Fault it{static_cast<FaultKind>(kind), static_cast<FaultPlace>(place)};
      if (whyImpossible(it).empty())
        out.push_back(it);
    }
  return out;
}

} // namespace peridotfall::proof
