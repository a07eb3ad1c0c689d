/// \file
/// The faults that the matrix and the random runs inject.

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
  LeaderPaused,
};
inline constexpr int FaultKindCount =
    static_cast<int>(FaultKind::LeaderPaused) + 1;

enum class FaultLocation : std::uint8_t {
  Entry,
  Owner,
  Primary,
  Replica,
  Platform,
  RegionLink,
};
inline constexpr int FaultLocationCount =
    static_cast<int>(FaultLocation::RegionLink) + 1;

struct Fault {
  FaultKind Kind = FaultKind::Kill;
  FaultLocation Location = FaultLocation::Entry;

  auto operator<=>(const Fault &) const = default;
};

std::string toString(FaultKind it);
std::string toString(FaultLocation it);
/// \return why the fault cannot happen at its location; empty: it can.
std::string whyImpossible(const Fault &it);
/// All faults that can happen.
std::vector<Fault> possibleFaults();

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_FAULTS_H
