/// \file
/// Settles what became of a conditional update whose answer was lost.

#ifndef PERIDOTFALL_PLATFORM_SETTLEMENT_H
#define PERIDOTFALL_PLATFORM_SETTLEMENT_H

#include "platform/platform.h"

#include <optional>

namespace peridotfall::platform {

/// A conditional update under way. The value has to carry an identifier of
/// its own, so that equal text means the same change.
///
/// Failure: the platform makes the change and its answer is lost. Symptom: a
/// blind retry meets the new version, and the writer takes its own change for
/// that of another. Reading back suffices: at version expected + 1 there is
/// exactly one change, and its text says whose it is.
class PutSettlement {
public:
  PutSettlement(std::uint64_t expected, std::string value)
      : Expected(expected), Value(std::move(value)) {}

  enum class Step { Done, ReadBack, SendAgain };

  /// What to do after an answer of the update itself.
  Step afterPut(const Result<Object> &answer);
  /// What to do after the object was read back.
  Step afterReadBack(const Result<Object> &stored);
  /// The result once a step was Done, or when the caller gives up.
  Result<Object> result() const;

  std::uint64_t expected() const { return Expected; }
  const std::string &value() const { return Value; }

private:
  Step finish(Result<Object> answer);

  std::uint64_t Expected;
  std::string Value;
  bool MaybeStored = false;
  std::optional<Result<Object>> Answer;
};

} // namespace peridotfall::platform

#endif // PERIDOTFALL_PLATFORM_SETTLEMENT_H
