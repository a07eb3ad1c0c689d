/// \file
/// The platform's API with a call budget, call counts, and conditional updates
/// that tolerate a lost answer.

#ifndef PERIDOTFALL_PLATFORM_GUARDED_H
#define PERIDOTFALL_PLATFORM_GUARDED_H

#include "peridotfall/clock.h"
#include "platform/backoff.h"
#include "platform/platform.h"

#include <asio/io_context.hpp>
#include <atomic>
#include <memory>

namespace peridotfall::platform {

/// Calls made by this process. A waiting watch counts as one call.
struct CallCounts {
  std::atomic<std::uint64_t> Gets{0};
  std::atomic<std::uint64_t> Puts{0};
  std::atomic<std::uint64_t> Watches{0};
  std::atomic<std::uint64_t> Lists{0};
  std::atomic<std::uint64_t> Refused{0}; ///< Over the budget; not sent.
  std::atomic<std::uint64_t> Failed{0};  ///< Not sent, or not answered.
};

struct GuardOptions {
  BackoffOptions Retry;
  BudgetOptions Budget;
  /// Longest time in which a Put is retried and read back.
  std::chrono::milliseconds PutLimit{10'000};
  std::uint64_t Seed = 1;
};

/// Calls over the budget answer Unavailable at once and are not sent. A Put is
/// retried and read back until its outcome is known or PutLimit has passed; its
/// value must contain a unique identifier.
/// \param clock must outlive the returned functions.
Api makeGuarded(Api inner, asio::io_context &loop, const Clock &clock,
                const GuardOptions &options,
                const std::shared_ptr<CallCounts> &counts);

} // namespace peridotfall::platform

#endif // PERIDOTFALL_PLATFORM_GUARDED_H
