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
#include "quota/paced_bucket.h"
#include "quota/share_delegation.h"

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
/// Daemons that may count one account, in the order in which they are used.
/// With few, most daemons could reach none of them in a network partition, and
/// would run only what their own shares allow.
inline constexpr std::size_t CountersPerAccount = 8;
/// Counters in use at a time. Each daemon delegates its shares to one of the
/// first two that answer, chosen by hash, so that half of a limit outlives
/// either. What one refuses is asked of the other.
inline constexpr std::size_t CountersAsked = 2;
/// Least operations that an account's buckets hold, over all counters. Without
/// a tolerated excess they would hold less than one, and grant nothing.
inline constexpr double MinGrantedExcess = 2.0 * CountersAsked;
/// Longest delay of a report.
inline constexpr milliseconds ReportDelay{250};
/// Timeout of a report. Operations that wait for a grant then ask the next
/// counter. A round trip takes 16 ms, and a small VM may be busy.
inline constexpr milliseconds ReportTimeout{100};
/// Time for which a counter that did not answer is not called.
inline constexpr milliseconds CounterPause{1'000};
/// Time for which a counter that has no configuration yet is not called. A
/// daemon that starts has one soon.
inline constexpr milliseconds UnconfiguredPause{100};
/// Interval of the reports that renew delegations. One of them may be lost
/// before a delegation ends.
inline constexpr milliseconds RenewalPause{400};
/// Interval of reports while the counter holds no valid delegation.
inline constexpr milliseconds DelegationRetry{100};
/// Time without a failure after which shares return to a counter. A share that
/// moves is limited for a window, so a counter that fails often must not get
/// shares back at once.
inline constexpr milliseconds SettledTime{10'000};
/// Time over which the daemons return their shares after that, each at its own
/// moment. If all returned together, the counter that they leave would have run
/// more than the shares that it keeps.
inline constexpr milliseconds ReturnTime{30'000};
/// Part of the tolerated excess for single operations of daemons that reach no
/// counter and whose share is less than one operation.
inline constexpr double ExcessWithoutCounter = 0.25;
/// Time for which a mode holds after the counter named it.
inline constexpr milliseconds ModeAge{5'000};
/// Interval of the lines that tell what was granted to an account at its limit.
inline constexpr milliseconds UseLineInterval{1'000};
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

/// What was decided on an account's operations since the last line about it.
struct UseTally {
  std::uint32_t Unasked = 0; ///< Run here before they were counted.
  std::uint32_t Reported = 0;
  std::uint32_t Granted = 0;
  std::uint32_t Refused = 0;

  auto operator<=>(const UseTally &) const = default;
};

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
  bool setMembers(const std::vector<Member> &members);
  /// \return the daemons that may count the account, the one that does first.
  std::vector<Member> countersOf(const AccountName &account) const;
  std::vector<Member> countersOf(std::uint32_t partition) const;
  std::size_t daemons() const { return Daemons; }

private:
  HolderRanks Ranks;
  std::size_t Daemons = 0;
  /// For each part of the accounts.
  std::vector<std::vector<Member>> Counters;
};

/// Counts accounts for all daemons, within the shares that are delegated to
/// this one. Not synchronised.
class QuotaCounter {
public:
  QuotaCounter(quota::ShareCounter &shares, const Clock &clock)
      : Shares(shares), Time(clock) {}

  /// \param version of the configuration with the accounts.
  void apply(const AccountTable &accounts, const QuotaTolerance &tolerance,
             std::uint64_t version);
  /// Counts an account's use. An account that has no quota by a configuration
  /// as new as the sender's gets all it asks for.
  /// \param version of the sender's configuration.
  /// \param least operations granted in a window although the shares amount to
  /// fewer.
  messages::AccountGrant handle(const messages::AccountUse &use,
                                std::uint64_t version, double least = 0);
  bool isConfigured() const { return Version != 0; }
  /// Logs what accounts at their limit were granted.
  void logUse();

private:
  struct Count {
    quota::PacedBucket Bucket;
    std::uint32_t Partition = 0;
    UseTally Tally{};
  };

  quota::ShareCounter &Shares;
  const Clock &Time;
  Duration Window{};
  std::uint64_t Version = 0;
  std::map<AccountName, Count> Counts;
};

/// The process that delegates and counts.
struct QuotaProcess {
  std::uint64_t Incarnation = 0;
  /// No predecessor of this process can have delegated anything.
  bool FleetStarts = false;

  auto operator<=>(const QuotaProcess &) const = default;
};

/// All calls on the loop's thread.
class AccountQuotas final : public QuotaPort {
public:
  /// \param clock advances while the machine is suspended.
  AccountQuotas(CallPort &calls, VmName self, const Clock &clock,
                QuotaProcess process = {});

  /// \param version of the configuration with the accounts.
  void apply(const AccountTable &accounts, const QuotaTolerance &tolerance,
             std::uint64_t version);
  void updateMembers(const std::vector<Member> &live);
  /// \param known all daemons in the store's list, also suspected ones.
  void updateRegistered(const std::vector<Member> &known);
  void setIncarnation(std::uint64_t incarnation);
  std::optional<QuotaDecision> admit(const AccountName &account,
                                     OnQuotaDecision done) override;
  void tick();
  /// \return whether the path belongs to this protocol.
  bool handle(const http::Request &request, const http::Respond &respond);

private:
  struct Account {
    AccountQuota Quota;
    std::uint32_t Partition = 0;
    std::map<VmName, TimePoint> Refused; ///< By each counter, until then.
    /// Whether a single operation may run beyond this daemon's share.
    std::optional<bool> MayExceed;
    std::uint32_t Unreported = 0;
    /// Reports in a row without an answer.
    std::size_t Unanswered = 0;
    std::uint32_t Sent = 0; ///< Reported, and not answered yet.
    std::vector<OnQuotaDecision> Asking;
    QuotaMode Mode = QuotaMode::Report;
    TimePoint ModeUntil{};
    TimePoint RefusedUntil{};
    UseTally Tally;
  };
  /// Another daemon that counts accounts.
  struct Link {
    std::string Address;
    bool Reporting = false;
    TimePoint NextReport{};
    TimePoint NextRenewal{};
    TimePoint FailedUntil{};
    std::set<AccountName> Due; ///< With something to report.
  };
  struct SentUse {
    AccountName Account;
    std::uint32_t Run = 0;
    std::vector<OnQuotaDecision> Asking;
  };
  struct SentReport {
    /// Releases what a predecessor of this process may have delegated.
    bool ReleasesAll = false;
    std::vector<SentUse> Uses;
  };

  void updatePlan(const std::vector<Member> &members);
  /// A restarted daemon may use its shares once all counters have confirmed
  /// that they hold no delegation of its predecessor, or once it must have
  /// ended.
  void handleRelease(const VmName &counter);
  void assignCounters();
  bool isUsable(const VmName &counter) const;
  bool isSuspected(const VmName &counter) const;
  bool isRefused(const Account &account, const VmName &counter) const;
  /// \return the counter to use now; empty if none answers. One that has
  /// refused the account is used only if no other is left.
  VmName counterFor(const Account &account) const;
  /// \return the counter to delegate the partition to; empty if none answers.
  VmName delegateTo(std::uint32_t partition) const;
  std::vector<std::uint32_t> partitionsFor(const VmName &counter) const;
  /// Uses the shares here that are delegated to nobody.
  void useHere(std::uint32_t partition);
  bool isRenewalDue(const VmName &counter, const Link &link) const;
  /// Adds the delegations for the counter to a report.
  /// \return whether the report is needed for them.
  bool addDelegations(const VmName &counter, Link &link,
                      messages::UseReport &message);
  bool mayExceed(const AccountName &name, Account &account) const;
  /// \return whether another counter may be asked.
  bool refuse(Account &account, const VmName &counter, milliseconds wait);
  QuotaMode modeOf(const Account &account) const;
  QuotaDecision decideHere(const AccountName &name, Account &account);
  /// Logs what was decided here on accounts at their limit.
  void logUse();
  /// Reports what is due for the account, or decides it here.
  void reportAgain(const AccountName &name);
  void report(const VmName &vm, Link &link);
  void handleAnswer(const VmName &vm, const SentReport &sent,
                    const http::CallResult &result);
  void handleGrant(const VmName &counter, const AccountName &name,
                   const messages::AccountGrant &grant,
                   std::vector<OnQuotaDecision> asking);
  /// \param counter that has no quota for the account.
  void handleUncounted(const VmName &counter, const SentUse &use);
  void handleNoAnswer(const SentReport &sent);
  /// Returns operations that no counter has counted, to be reported again.
  void restore(const SentUse &use);

  CallPort &Calls;
  VmName Self;
  const Clock &Time;
  milliseconds ReturnAfter; ///< Without a failure of the counter.
  std::set<VmName> LiveNames;
  /// Counters are chosen among these: all registered daemons, suspected ones
  /// included, once they are known. In a network partition suspicions come and
  /// go, and a share that moves to another counter grants nothing for a while.
  std::vector<Member> Members;
  CounterPlan Plan; ///< Unused without accounts.
  std::uint64_t Version = 0;
  TimePoint NextUseLine{};
  QuotaTolerance Tolerance;
  QuotaProcess Process;
  std::vector<VmName> Registered;
  quota::ShareOwner Own;
  quota::ShareCounter Delegated;
  QuotaCounter Counter;
  /// Of each partition that has accounts, the preferred one first.
  std::map<std::uint32_t, std::vector<VmName>> Candidates;
  std::map<AccountName, Account> Accounts;
  std::map<VmName, Link> Links;
  /// Counters that hold no delegation of a predecessor.
  std::set<VmName> Released;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_ACCOUNT_QUOTAS_H
