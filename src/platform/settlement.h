/// \file
/// Determines the outcome of a conditional update whose answer was lost.

#ifndef PERIDOTFALL_PLATFORM_SETTLEMENT_H
#define PERIDOTFALL_PLATFORM_SETTLEMENT_H

#include "platform/platform.h"

#include <optional>

namespace peridotfall::platform {

/// State machine of a conditional update. The value must contain a unique
/// identifier, so that equal values mean the same change.
///
/// The platform may store the change while its answer is lost. A blind retry
/// would then conflict with the new version, and the writer would mistake its
/// own change for another writer's. Reading the object back is sufficient:
/// exactly one change has version expected + 1, and its value identifies the
/// writer.
class PutSettlement {
public:
  PutSettlement(std::uint64_t expected, std::string value)
      : Expected(expected), Value(std::move(value)) {}

  enum class Step { Done, ReadBack, SendAgain };

  /// \return the next step after the update's answer.
  Step afterPut(const Result<Object> &answer);
  /// \return the next step after the object was read back.
  Step afterReadBack(const Result<Object> &stored);
  /// \return the result after a step returned Done, or the provisional result
  /// if the caller stops earlier.
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
