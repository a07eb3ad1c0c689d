/// \file
/// The steps at which a fault can be injected. The components of a run report
/// each step as they reach it.

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

class StepHooks {
public:
  /// \param action runs once, when the step is next reached.
  void onNext(Step step, std::function<void()> action) {
    HookedStep = step;
    Hook = std::move(action);
  }
  void reached(Step step) {
    if (Hook && step == HookedStep)
      std::exchange(Hook, nullptr)();
  }
  bool waiting() const { return Hook != nullptr; }

private:
  Step HookedStep = Step::Queued;
  std::function<void()> Hook;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_STEPS_H
