/// \file
/// When a call whose answer may be large is to be given up.

#ifndef PERIDOTFALL_HTTP_ANSWER_PROGRESS_H
#define PERIDOTFALL_HTTP_ANSWER_PROGRESS_H

#include "http/message.h"

#include <chrono>
#include <optional>

namespace peridotfall::http {

using SteadyTime = std::chrono::steady_clock::time_point;

/// \return limits that end a call unless its whole answer is there in time.
AnswerLimits wholeWithin(std::chrono::milliseconds limit);
/// \return limits for an answer that begins in time and then keeps coming.
AnswerLimits beginsWithin(std::chrono::milliseconds limit);

/// What has come of an answer. The time is passed in.
class AnswerProgress {
public:
  AnswerProgress() = default;
  AnswerProgress(AnswerLimits limits, SteadyTime begun)
      : Limits(limits), Begun(begun) {}

  void received(SteadyTime now);
  bool hasBegun() const { return First.has_value(); }
  /// \return when the call is to be given up if nothing more comes.
  SteadyTime deadline() const;
  Transfer transfer(std::size_t bytes, SteadyTime now) const;

private:
  AnswerLimits Limits;
  SteadyTime Begun;
  std::optional<SteadyTime> First;
  SteadyTime Last;
};

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_ANSWER_PROGRESS_H
