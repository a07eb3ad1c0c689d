/// \file
/// Timeouts of a call whose answer may be large.

#ifndef PERIDOTFALL_HTTP_ANSWER_PROGRESS_H
#define PERIDOTFALL_HTTP_ANSWER_PROGRESS_H

#include "http/message.h"

#include <chrono>
#include <optional>

namespace peridotfall::http {

using SteadyTime = std::chrono::steady_clock::time_point;

/// \return limits that time out a call unless its whole answer arrives within
/// \p limit.
AnswerLimits totalTimeout(std::chrono::milliseconds limit);
/// \return limits for an answer that begins within \p limit and then never
/// stalls for longer than limits::AnswerStall.
AnswerLimits firstByteTimeout(std::chrono::milliseconds limit);

/// Tracks when bytes of an answer arrive. The time is passed in.
class AnswerProgress {
public:
  AnswerProgress() = default;
  AnswerProgress(AnswerLimits limits, SteadyTime startTime)
      : Limits(limits), StartTime(startTime) {}

  void received(SteadyTime now);
  bool hasBegun() const { return FirstByteTime.has_value(); }
  /// \return when the call times out if no further byte arrives.
  SteadyTime deadline() const;
  Transfer transfer(std::size_t bytes, SteadyTime now) const;

private:
  AnswerLimits Limits;
  SteadyTime StartTime;
  std::optional<SteadyTime> FirstByteTime;
  SteadyTime LastByteTime;
};

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_ANSWER_PROGRESS_H
