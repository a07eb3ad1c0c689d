/// \file
/// The platform's API with a budget, counts, and changes that survive a lost
/// answer.

#ifndef PERIDOTFALL_PLATFORM_GUARDED_H
#define PERIDOTFALL_PLATFORM_GUARDED_H

#include "peridotfall/clock.h"
#include "platform/backoff.h"
#include "platform/platform.h"

#include <asio/io_context.hpp>
#include <atomic>
#include <memory>

namespace peridotfall::platform {

/// Calls made by this process. A waiting watch is one.
struct CallCounts {
  std::atomic<std::uint64_t> Gets{0};
  std::atomic<std::uint64_t> Puts{0};
  std::atomic<std::uint64_t> Watches{0};
  std::atomic<std::uint64_t> Lists{0};
  std::atomic<std::uint64_t> Refused{0}; ///< By the budget; never sent.
  std::atomic<std::uint64_t> Failed{0};  ///< No answer, or not in time.
};

struct GuardOptions {
  BackoffOptions Retry;
  BudgetOptions Budget;
  /// Longest time in which a change is tried and read back.
  std::chrono::milliseconds PutLimit{10'000};
  std::uint64_t Seed = 1;
};

/// Calls beyond the budget answer Unavailable at once: they were not sent. A
/// Put is sent again and read back until its outcome is known or PutLimit is
/// over; its value has to carry an identifier of its own. \param clock has to
/// outlive the returned functions.
Api makeGuarded(Api inner, asio::io_context &loop, const Clock &clock,
                const GuardOptions &options,
                const std::shared_ptr<CallCounts> &counts);

} // namespace peridotfall::platform

#endif // PERIDOTFALL_PLATFORM_GUARDED_H
