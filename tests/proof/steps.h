/// \file
/// The steps at which a fault can strike, told by the parts of a run as they
/// pass them.

#ifndef PERIDOTFALL_PROOF_STEPS_H
#define PERIDOTFALL_PROOF_STEPS_H

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace peridotfall::proof {

enum class Step : std::uint8_t {
  Queued,
  Sent,
  Committed,
  Confirmed,
  Answered,
  Nominated,
  OneFenced,
  MajorityFenced,
  Promoted,
  Published,
  ConfigurationWritten,
  ConfigurationPassedOn,
  ConfigurationHalfInForce,
  Draining,
};

inline constexpr int StepCount = static_cast<int>(Step::Draining) + 1;

std::string toString(Step it);

class Steps {
public:
  /// \param action runs once, when the step is next passed.
  void onNext(Step step, std::function<void()> action) {
    Awaited = step;
    Hook = std::move(action);
  }
  void pass(Step step) {
    if (Hook && step == Awaited)
      std::exchange(Hook, nullptr)();
  }
  bool waiting() const { return Hook != nullptr; }

private:
  Step Awaited = Step::Queued;
  std::function<void()> Hook;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_STEPS_H
