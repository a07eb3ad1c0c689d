/// \file
/// The faults of the matrix and of the random runs.

#ifndef PERIDOTFALL_PROOF_FAULTS_H
#define PERIDOTFALL_PROOF_FAULTS_H

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotfall::proof {

enum class FaultKind : std::uint8_t {
  Kill,
  Freeze,
  CutBothWays,
  CutOneWay,
  SlowLink,
  AnswersLate,
  AnswersLost,
  AnswersDoubled,
  AnswersCrossed,
  PlatformDown,
  PlatformSlow,
  PlatformAnswersLost,
  LaggingReplica,
  LaggingList,
  OperatorsRacing,
  HolderPaused,
};
inline constexpr int FaultKindCount =
    static_cast<int>(FaultKind::HolderPaused) + 1;

enum class FaultPlace : std::uint8_t {
  Entry,
  Owner,
  Primary,
  Replica,
  Platform,
  RegionLink,
};
inline constexpr int FaultPlaceCount =
    static_cast<int>(FaultPlace::RegionLink) + 1;

struct Fault {
  FaultKind Kind = FaultKind::Kill;
  FaultPlace Place = FaultPlace::Entry;

  auto operator<=>(const Fault &) const = default;
};

std::string toString(FaultKind it);
std::string toString(FaultPlace it);
/// \return why the fault cannot strike there; empty: it can.
std::string whyImpossible(const Fault &it);
/// All that can strike.
std::vector<Fault> possibleFaults();

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_FAULTS_H
