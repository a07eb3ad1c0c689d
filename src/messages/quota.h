/// \file
/// Messages of the inner protocol: what a daemon has run for client accounts,
/// and what it may run.

#ifndef PERIDOTFALL_MESSAGES_QUOTA_H
#define PERIDOTFALL_MESSAGES_QUOTA_H

#include "peridotfall/clock.h"
#include "peridotfall/names.h"
#include "peridotfall/quota.h"
#include "peridotfall/result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotfall::messages {

inline constexpr auto UseReportPath = "/inner/v1/quota/report";
/// Longest list of counts by priority, and of partitions, in a message.
inline constexpr std::size_t MaxQuotaListLength = 256;

struct AccountUse {
  AccountName Account;
  std::uint32_t Run = 0;   ///< Operations run since the last report.
  std::uint32_t Asked = 0; ///< Operations that wait for a grant.
  /// Asked by route priority, 0 first. Empty: from a daemon of an earlier
  /// version.
  std::vector<std::uint32_t> AskedByPriority{};

  auto operator<=>(const AccountUse &) const = default;
};

/// Identifies the process that counts and the time at which it answered.
struct Challenge {
  std::uint64_t Incarnation = 0;
  std::uint64_t IssuedMicros = 0; ///< By the clock of the daemon that counts.

  auto operator<=>(const Challenge &) const = default;
};

/// The shares of all limits that a daemon delegates to the receiver.
struct Delegation {
  VmName Vm;
  std::uint64_t Incarnation = 0;
  std::uint32_t Daemons = 0; ///< Registered ones that the sender knows.
  std::optional<Challenge> LastChallenge; ///< Received from the receiver.
  std::vector<std::uint32_t> Partitions;
  std::vector<std::uint32_t> Released; ///< No longer delegated.

  auto operator<=>(const Delegation &) const = default;
};

struct UseReport {
  std::vector<AccountUse> Uses;
  /// Empty: from a daemon of an earlier version.
  std::optional<Delegation> Delegated{};
  /// Of the sender's configuration; 0: from a daemon of an earlier version.
  std::uint64_t Version = 0;

  auto operator<=>(const UseReport &) const = default;
};

struct AccountGrant {
  std::uint32_t Granted = 0; ///< Of the operations that were asked for.
  QuotaMode Mode = QuotaMode::Report;
  Duration Wait{}; ///< Until the next operation may be granted.
  std::vector<std::uint32_t> GrantedByPriority{}; ///< Sums to Granted.
  double AskedRate = 0;   ///< Recent operations a second over all daemons.
  double GrantedRate = 0; ///< Of these, granted.
  /// Nothing was counted: the daemon has no quota for the account, and its
  /// configuration is older than the sender's.
  bool Uncounted = false;

  auto operator<=>(const AccountGrant &) const = default;
};

/// One grant for each use, in the same order.
struct UseAnswer {
  std::vector<AccountGrant> Grants;
  /// To be sent with the next report. Empty: from a daemon of an earlier
  /// version, to which nothing can be delegated.
  std::optional<Challenge> Next{};
  std::vector<std::uint32_t> Released{}; ///< Partitions no longer held.
  bool Unconfigured = false; ///< The daemon can't count any account yet.

  auto operator<=>(const UseAnswer &) const = default;
};

std::string encode(const UseReport &it);
std::string encode(const UseAnswer &it);

/// \return Invalid if the message is malformed, an enum value is unknown, a
/// list is too long or a rate is negative or not finite.
Result<UseReport> decodeUseReport(const std::string &bytes);
Result<UseAnswer> decodeUseAnswer(const std::string &bytes);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_QUOTA_H
