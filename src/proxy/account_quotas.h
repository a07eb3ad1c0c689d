/// \file
/// Limits the operations of client accounts over all daemons: reports what runs
/// here to the daemon that counts an account, and counts accounts for others.

#ifndef PERIDOTFALL_PROXY_ACCOUNT_QUOTAS_H
#define PERIDOTFALL_PROXY_ACCOUNT_QUOTAS_H

#include "http/message.h"
#include "messages/quota.h"
#include "peridotfall/membership.h"
#include "peridotfall/quota.h"
#include "proxy/holder_ranks.h"
#include "proxy/relay.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Daemons for each one that counts accounts. With fewer, a report contains few
/// accounts and bytes are lost to headers; with more, counting takes a
/// noticeable share of a small VM.
inline constexpr std::size_t DaemonsPerCounter = 64;
/// Daemons that may count one account; the next is used while one fails.
inline constexpr std::size_t CountersPerAccount = 2;
/// Longest delay of a report.
inline constexpr milliseconds ReportDelay{250};
/// Timeout of a report. Operations that wait for a grant then ask the next
/// counter. A round trip takes 16 ms, and a small VM may be busy.
inline constexpr milliseconds ReportTimeout{100};
/// Time for which a counter that did not answer is not called.
inline constexpr milliseconds CounterPause{1'000};
/// Time for which a mode holds after the counter named it.
inline constexpr milliseconds ModeAge{5'000};
/// Bounds of the time for which an account without operations left is refused
/// here without another question.
inline constexpr milliseconds MinRefusal{20};
inline constexpr milliseconds MaxRefusal{250};

} // namespace limits

struct QuotaDecision {
  bool Run = true;
  milliseconds RetryAfter{}; ///< If not.

  auto operator<=>(const QuotaDecision &) const = default;
};
using OnQuotaDecision = std::function<void(QuotaDecision)>;

class QuotaPort {
public:
  virtual ~QuotaPort() = default;
  /// Decides on an operation that is about to run.
  /// \param done called later, at most once, if nothing is returned.
  virtual std::optional<QuotaDecision> admit(const AccountName &account,
                                             OnQuotaDecision done) = 0;
};

/// Divides the accounts among the daemons that count them. These are the first
/// by rendezvous hashing of those with the widest links. Not synchronised.
class CounterPlan {
public:
  /// \return whether other daemons count from now on.
  bool setMembers(const std::vector<Member> &live);
  /// \return the daemons that may count the account, the one that does first.
  std::vector<Member> countersOf(const AccountName &account) const;
  std::size_t daemons() const { return Daemons; }

private:
  HolderRanks Ranks;
  std::size_t Daemons = 0;
  /// For each part of the accounts.
  std::vector<std::vector<Member>> Counters;
};

/// Counts accounts for all daemons. Not synchronised.
class QuotaCounter {
public:
  explicit QuotaCounter(const Clock &clock) : Time(clock) {}

  void apply(const AccountTable &accounts, const QuotaTolerance &tolerance);
  /// \param counts whether this daemon is the one that counts the account.
  void assign(const AccountName &account, bool counts);
  /// Counts an account's use. An account without a quota gets all it asks for.
  messages::AccountGrant handle(const messages::AccountUse &use);

private:
  struct Count {
    QuotaBucket Bucket;
    /// False: it may have been counted elsewhere since the last use.
    bool Current = false;
  };

  const Clock &Time;
  std::map<AccountName, Count> Counts;
};

/// All calls on the loop's thread.
class AccountQuotas final : public QuotaPort {
public:
  AccountQuotas(CallPort &calls, VmName self, const Clock &clock);

  void apply(const AccountTable &accounts, const QuotaTolerance &tolerance);
  void updateMembers(const std::vector<Member> &live);
  std::optional<QuotaDecision> admit(const AccountName &account,
                                     OnQuotaDecision done) override;
  void tick();
  /// \return whether the path belongs to this protocol.
  bool handle(const http::Request &request, const http::Respond &respond);

private:
  struct Account {
    AccountQuota Quota;
    std::optional<QuotaBucket> Share; ///< Used while no counter answers.
    std::vector<VmName> Counters;
    std::uint32_t Unreported = 0;
    std::vector<OnQuotaDecision> Asking;
    QuotaMode Mode = QuotaMode::Report;
    TimePoint ModeUntil{};
    TimePoint RefusedUntil{};
  };
  /// Another daemon that counts accounts.
  struct Link {
    std::string Address;
    bool Reporting = false;
    TimePoint NextReport{};
    TimePoint FailedUntil{};
    std::set<AccountName> Due; ///< With something to report.
  };
  struct SentReport {
    std::vector<AccountName> Accounts;
    std::vector<std::uint32_t> Run;
    std::vector<std::vector<OnQuotaDecision>> Asking;
  };

  void assignCounters();
  /// \return the counter to use now; empty if none answers.
  VmName counterFor(const Account &account) const;
  QuotaMode modeOf(const Account &account) const;
  QuotaDecision decideHere(Account &account);
  /// Reports what is due for the account, or decides it here.
  void reportAgain(const AccountName &name);
  void report(const VmName &vm, Link &link);
  void handleAnswer(const VmName &vm, const SentReport &sent,
                    const http::CallResult &result);
  void handleGrant(const AccountName &name, const messages::AccountGrant &grant,
                   const std::vector<OnQuotaDecision> &asking);
  void handleNoAnswer(const SentReport &sent);

  CallPort &Calls;
  VmName Self;
  const Clock &Time;
  std::vector<Member> Live;
  CounterPlan Plan; ///< Unused without accounts.
  QuotaTolerance Tolerance;
  QuotaCounter Counter;
  std::map<AccountName, Account> Accounts;
  std::map<VmName, Link> Links;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_ACCOUNT_QUOTAS_H
