#include "http/answer_progress.h"

#include "peridotfall/limits.h"

namespace peridotfall::http {

AnswerLimits totalTimeout(std::chrono::milliseconds limit) {
  return {limit, {}};
}

AnswerLimits firstByteTimeout(std::chrono::milliseconds limit) {
  return {limit, limits::AnswerStall};
}

void AnswerProgress::received(SteadyTime now) {
  if (!FirstByteTime)
    FirstByteTime = now;
  LastByteTime = now;
}

SteadyTime AnswerProgress::deadline() const {
  bool limitsWhole = Limits.Stall.count() == 0;
  if (!FirstByteTime || limitsWhole)
    return StartTime + Limits.FirstByte;
  return LastByteTime + Limits.Stall;
}

Transfer AnswerProgress::transfer(std::size_t bytes, SteadyTime now) const {
  if (!FirstByteTime)
    return {};
  return {bytes, now - *FirstByteTime};
}

} // namespace peridotfall::http
