#include "http/answer_progress.h"

#include "peridotfall/limits.h"

namespace peridotfall::http {

AnswerLimits wholeWithin(std::chrono::milliseconds limit) {
  return {limit, {}};
}

AnswerLimits beginsWithin(std::chrono::milliseconds limit) {
  return {limit, limits::AnswerStall};
}

void AnswerProgress::received(SteadyTime now) {
  if (!First)
    First = now;
  Last = now;
}

SteadyTime AnswerProgress::deadline() const {
  bool limitsWhole = Limits.Stall.count() == 0;
  if (!First || limitsWhole)
    return Begun + Limits.Begin;
  return Last + Limits.Stall;
}

Transfer AnswerProgress::transfer(std::size_t bytes, SteadyTime now) const {
  if (!First)
    return {};
  return {bytes, now - *First};
}

} // namespace peridotfall::http
