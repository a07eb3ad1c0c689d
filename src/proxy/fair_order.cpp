#include "proxy/fair_order.h"

#include <algorithm>
#include <tuple>

namespace peridotfall::proxy {

/// An account that has used less than others while it had nothing to run gets
/// no credit for that: it would otherwise keep all others waiting later.
Duration FairOrder::nextTag(const Turns &turns, std::string_view account) {
  auto it = turns.Finish.find(account);
  return it == turns.Finish.end() ? turns.Now : std::max(it->second, turns.Now);
}

std::vector<Duration>
FairOrder::tags(const std::vector<QueuedWork> &waiting) const {
  using Line = std::tuple<unsigned, unsigned, std::string_view>;
  static const Turns Unused;
  std::map<Line, Duration> next;
  std::vector<Duration> out;
  out.reserve(waiting.size());
  for (const auto &it : waiting) {
    auto [line, isFirst] =
        next.try_emplace({it.Priority, it.Class, it.Account});
    if (isFirst) {
      auto turns = ByPriority.find(it.Priority);
      line->second = nextTag(turns == ByPriority.end() ? Unused : turns->second,
                             it.Account);
    }
    out.push_back(line->second);
    line->second += std::max<Duration>(it.Work, limits::MinLeaseWork);
  }
  return out;
}

void FairOrder::started(unsigned priority, const AccountName &account,
                        Duration work) {
  auto &turns = ByPriority[priority];
  turns.Now = nextTag(turns, account.Value);
  charge(priority, account, std::max<Duration>(work, limits::MinLeaseWork));
  // A finish tag up to Now is equal to none.
  std::erase_if(turns.Finish,
                [&](const auto &it) { return it.second <= turns.Now; });
}

void FairOrder::charge(unsigned priority, const AccountName &account,
                       Duration work) {
  auto &turns = ByPriority[priority];
  turns.Finish[account.Value] = nextTag(turns, account.Value) + work;
}

} // namespace peridotfall::proxy
