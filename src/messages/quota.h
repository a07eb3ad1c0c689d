/// \file
/// Messages of the inner protocol: what a daemon has run for client accounts,
/// and what it may run.

#ifndef PERIDOTFALL_MESSAGES_QUOTA_H
#define PERIDOTFALL_MESSAGES_QUOTA_H

#include "peridotfall/quota.h"
#include "peridotfall/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotfall::messages {

inline constexpr auto UseReportPath = "/inner/v1/quota/report";

struct AccountUse {
  AccountName Account;
  std::uint32_t Run = 0;   ///< Operations run since the last report.
  std::uint32_t Asked = 0; ///< Operations that wait for a grant.

  auto operator<=>(const AccountUse &) const = default;
};

struct UseReport {
  std::vector<AccountUse> Uses;

  auto operator<=>(const UseReport &) const = default;
};

struct AccountGrant {
  std::uint32_t Granted = 0; ///< Of the operations that were asked for.
  QuotaMode Mode = QuotaMode::Report;
  Duration Wait{}; ///< Until the next operation may be granted.

  auto operator<=>(const AccountGrant &) const = default;
};

/// One grant for each use, in the same order.
struct UseAnswer {
  std::vector<AccountGrant> Grants;

  auto operator<=>(const UseAnswer &) const = default;
};

std::string encode(const UseReport &it);
std::string encode(const UseAnswer &it);

/// \return Invalid if the message is malformed or an enum value is unknown.
Result<UseReport> decodeUseReport(const std::string &bytes);
Result<UseAnswer> decodeUseAnswer(const std::string &bytes);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_QUOTA_H
