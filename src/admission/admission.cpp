#include "peridotfall/admission.h"

#include "base/durations.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotfall {

namespace {

/// Above this the sums of served work are halved, so that old work counts less.
constexpr Duration HalvingThreshold = 2 * Duration(limits::RateWindow);

std::size_t indexOf(WorkClass it) { return static_cast<std::size_t>(it); }

constexpr std::size_t LookupIndex = static_cast<std::size_t>(WorkClass::Lookup);

double decayed(double value, TimePoint since, TimePoint now,
               std::chrono::duration<double> window = limits::RateWindow) {
  auto passed = std::chrono::duration<double>(now - since);
  return value * std::exp(-passed / window);
}

} // namespace

Admission::Admission(std::uint32_t slots, std::uint64_t seed)
    : Slots(std::max(slots, 1U)), Random(seed) {}

/// Long statements never take the last slot, else every lookup would wait for a
/// report. A target with a single slot has none to reserve.
bool Admission::canStartLong() const {
  return Slots < 2 || LongRunning < Slots - 1;
}

bool Admission::hasFreeSlot(bool isLong) const {
  return Active.size() < Slots && (!isLong || canStartLong());
}

bool Admission::lookupsBelowFloor() const {
  return static_cast<double>(ServedLookupWork.count()) <
         limits::LookupFloor * static_cast<double>(ServedWork.count());
}

/// \return expected work left of the running statements of the same length
/// class. A statement past its estimate is expected to take half as long again
/// as it has run, so that a stuck target shows as a growing wait.
Duration Admission::remainingWork(bool isLong, TimePoint now) const {
  Duration sum{};
  for (const auto &[ticket, it] : Active) {
    auto passed = now - it.At;
    auto expected = it.Item.Work.Expected;
    if (it.Item.Work.Long == isLong)
      sum += passed <= expected ? expected - passed / 2 : passed / 2;
  }
  return sum;
}

/// Callers take turns: of each other caller's work, at most as much as the
/// statement and its own caller's waiting work comes before it.
Duration Admission::workAhead(const WorkItem &item) const {
  std::size_t lane = item.Work.Long ? 1 : 0;
  Duration sum{};
  for (std::size_t n = 0; n < indexOf(item.Class); ++n)
    sum += ClassQueues[n].Work[lane];
  const auto &queue = ClassQueues[indexOf(item.Class)];
  auto own = queue.Flows.find(item.Caller);
  Duration ownWork =
      own == queue.Flows.end() ? Duration{} : own->second.Work[lane];
  sum += ownWork;
  for (const auto &[caller, flow] : queue.Flows)
    if (caller != item.Caller)
      sum += std::min(flow.Work[lane], ownWork + item.Work.Expected);
  return sum;
}

double Admission::recordLoad(TimePoint now) const {
  auto window = static_cast<double>(Duration(limits::RateWindow).count());
  return decayed(RecentRecordWork, RecentRecordWorkAt, now) / (window * Slots);
}

void Admission::addRecordWork(const WorkItem &item, TimePoint now) {
  if (item.Class == WorkClass::Lookup)
    return;
  RecentRecordWork = decayed(RecentRecordWork, RecentRecordWorkAt, now) +
                     static_cast<double>(item.Work.Expected.count());
  RecentRecordWorkAt = now;
}

/// \return how many slots serve the statement's queue while it waits. For a
/// lookup, less the share of writes of record that are expected to arrive
/// meanwhile.
double Admission::serviceRate(const WorkItem &item, TimePoint now) const {
  double rate = Slots < 2        ? 1.0
                : item.Work.Long ? Slots - 1.0
                                 : static_cast<double>(Slots - LongRunning);
  rate = std::max(rate, 1.0);
  if (item.Class == WorkClass::Lookup)
    rate *= std::max(limits::LookupFloor, 1 - recordLoad(now));
  return rate;
}

Duration Admission::expectedWait(const WorkItem &item, TimePoint now) const {
  auto ahead = workAhead(item);
  if (ahead == Duration{} && hasFreeSlot(item.Work.Long))
    return {};
  return scaled(remainingWork(item.Work.Long, now) + ahead,
                1 / serviceRate(item, now));
}

Duration Admission::shortWait(TimePoint now) const {
  Duration ahead{};
  for (const auto &it : ClassQueues)
    ahead += it.Work[0];
  if (ahead == Duration{} && hasFreeSlot(false))
    return {};
  return scaled(remainingWork(false, now) + ahead, 1 / serviceRate({}, now));
}

bool Admission::fitsDeadline(const WorkItem &item, Duration wait,
                             TimePoint now) const {
  auto left = item.Deadline - now;
  if (left <= Duration{})
    return false;
  // With a free slot the statement runs whatever its estimate: only a run can
  // correct a wrong estimate.
  if (wait == Duration{})
    return true;
  double share = item.Class == WorkClass::Lookup ? limits::LookupWaitShare
                                                 : limits::RecordWaitShare;
  return wait <= scaled(left, share) && wait + item.Work.Expected <= left;
}

/// The retry-after time is what the queue needs to become short enough, plus a
/// random part of what the slots need for all recently refused work. Without
/// the spread, refused callers would retry at the same moment and be refused
/// again.
Refusal Admission::refuse(AnswerCode code, const WorkItem &item, Duration wait,
                          TimePoint now) {
  RecentRefusedWork = decayed(RecentRefusedWork, RecentRefusedWorkAt, now,
                              limits::RefusedWindow) +
                      static_cast<double>(item.Work.Expected.count());
  RecentRefusedWorkAt = now;
  auto allowed = scaled(std::max(item.Deadline - now, Duration{}),
                        limits::LookupWaitShare);
  auto drain = std::max(wait - allowed, Duration(limits::MinRetryAfter));
  auto spread = std::max(
      drain, Duration(static_cast<Duration::rep>(RecentRefusedWork / Slots)));
  auto after =
      drain + scaled(spread, std::uniform_real_distribution<>(0, 1)(Random));
  return {code, std::clamp(after, Duration(limits::MinRetryAfter),
                           Duration(limits::MaxRetryAfter))};
}

Offer Admission::offer(const WorkItem &item, TimePoint now) {
  Offer out;
  addRecordWork(item, now);
  auto wait = expectedWait(item, now);
  if (!fitsDeadline(item, wait, now)) {
    bool late = item.Deadline <= now;
    out.Why = refuse(late ? AnswerCode::DeadlinePassed : AnswerCode::Overloaded,
                     item, wait, now);
    return out;
  }
  if (Waiting >= limits::MaxQueued) {
    const auto &flows = ClassQueues[indexOf(item.Class)].Flows;
    auto own = flows.find(item.Caller);
    auto other =
        removeFromHeaviest(own == flows.end() ? 0 : own->second.size());
    if (!other) {
      out.Why = refuse(AnswerCode::Overloaded, item, wait, now);
      return out;
    }
    out.Others.push_back({other->Ticket, refuse(AnswerCode::Overloaded,
                                                other->Item, wait, now)});
  }
  out.Ticket = {++LastTicket};
  push({out.Ticket, item});
  shedLate(item.Work.Long ? 1 : 0, now, out.Others);
  return out;
}

void Admission::push(Entry entry) {
  auto &queue = ClassQueues[indexOf(entry.Item.Class)];
  std::size_t lane = entry.Item.Work.Long ? 1 : 0;
  auto &flow = queue.Flows[entry.Item.Caller];
  // A caller with nothing waiting does not accumulate turns.
  if (flow.Lanes[lane].empty())
    flow.VirtualTime[lane] =
        std::max(flow.VirtualTime[lane], queue.VirtualNow[lane]);
  flow.Work[lane] += entry.Item.Work.Expected;
  queue.Work[lane] += entry.Item.Work.Expected;
  flow.Lanes[lane].push_back(std::move(entry));
  ++Waiting;
}

Admission::Entry Admission::removeEntry(ClassQueue &queue, FlowIterator flow,
                                        std::size_t lane, std::size_t index) {
  auto &entries = flow->second.Lanes[lane];
  auto at = entries.begin() + static_cast<std::ptrdiff_t>(index);
  auto out = std::move(*at);
  entries.erase(at);
  flow->second.Work[lane] -= out.Item.Work.Expected;
  queue.Work[lane] -= out.Item.Work.Expected;
  if (flow->second.empty())
    queue.Flows.erase(flow);
  --Waiting;
  return out;
}

std::optional<Admission::Entry>
Admission::removeFromHeaviest(std::size_t above) {
  auto &queue = ClassQueues[LookupIndex];
  auto heaviest = std::max_element(queue.Flows.begin(), queue.Flows.end(),
                                   [](const auto &a, const auto &b) {
                                     return a.second.size() < b.second.size();
                                   });
  if (heaviest == queue.Flows.end() || heaviest->second.size() <= above)
    return std::nullopt;
  auto &lanes = heaviest->second.Lanes;
  std::size_t lane = lanes[0].size() >= lanes[1].size() ? 0 : 1;
  return removeEntry(queue, heaviest, lane, lanes[lane].size() - 1);
}

/// Writes of record and light callers that arrive later push a heavy caller's
/// last lookups past their deadlines. The last lookup in the order is refused
/// as soon as it no longer fits, while there is time to use another target.
void Admission::shedLate(std::size_t lane, TimePoint now,
                         std::vector<Shed> &out) {
  auto &queue = ClassQueues[LookupIndex];
  bool isLong = lane == 1;
  constexpr int MaxShed = 8; // For each offer, to bound its work.
  for (int n = 0; n < MaxShed && !hasFreeSlot(isLong); ++n) {
    auto last = queue.Flows.end();
    for (auto it = queue.Flows.begin(); it != queue.Flows.end(); ++it)
      if (!it->second.Lanes[lane].empty() &&
          (last == queue.Flows.end() ||
           last->second.VirtualTime[lane] + last->second.Work[lane] <
               it->second.VirtualTime[lane] + it->second.Work[lane]))
        last = it;
    if (last == queue.Flows.end())
      return;
    const auto &entries = last->second.Lanes[lane];
    const auto &item = entries.back().Item;
    Duration ahead = remainingWork(isLong, now) - item.Work.Expected;
    for (const auto &it : ClassQueues)
      ahead += it.Work[lane];
    auto wait = scaled(ahead, 1 / serviceRate(item, now));
    if (now + wait + item.Work.Expected <= item.Deadline)
      return;
    auto entry = removeEntry(queue, last, lane, entries.size() - 1);
    out.push_back(
        {entry.Ticket, refuse(AnswerCode::Overloaded, entry.Item, wait, now)});
  }
}

Admission::FlowIterator Admission::nextFlow(ClassQueue &queue,
                                            std::size_t lane) {
  auto best = queue.Flows.end();
  for (auto it = queue.Flows.begin(); it != queue.Flows.end(); ++it)
    if (!it->second.Lanes[lane].empty() &&
        (best == queue.Flows.end() ||
         it->second.VirtualTime[lane] < best->second.VirtualTime[lane]))
      best = it;
  return best;
}

std::optional<TicketHandle> Admission::startFrom(ClassQueue &queue,
                                                 TimePoint now) {
  auto none = queue.Flows.end();
  auto best = nextFlow(queue, 0);
  std::size_t lane = 0;
  if (canStartLong()) {
    auto other = nextFlow(queue, 1);
    // The lane whose first statement was queued earlier goes first.
    if (other != none &&
        (best == none || other->second.Lanes[1].front().Ticket <
                             best->second.Lanes[0].front().Ticket)) {
      best = other;
      lane = 1;
    }
  }
  if (best == none)
    return std::nullopt;
  auto &flow = best->second;
  auto expected = flow.Lanes[lane].front().Item.Work.Expected;
  // The virtual time advances by the work divided by the number of waiting
  // callers. Otherwise a steady stream of new callers with one request each,
  // which start at the present virtual time, would starve a caller's second
  // request.
  auto turn = std::max(queue.VirtualNow[lane], flow.VirtualTime[lane]);
  queue.VirtualNow[lane] =
      turn + expected / static_cast<Duration::rep>(queue.Flows.size());
  flow.VirtualTime[lane] += expected;
  auto entry = removeEntry(queue, best, lane, 0);
  LongRunning += lane;
  ServedWork += expected;
  if (entry.Item.Class == WorkClass::Lookup)
    ServedLookupWork += expected;
  if (ServedWork > HalvingThreshold) {
    ServedWork /= 2;
    ServedLookupWork /= 2;
  }
  Active[entry.Ticket] = {std::move(entry.Item), now};
  return entry.Ticket;
}

std::optional<TicketHandle> Admission::next(TimePoint now) {
  if (Active.size() >= Slots)
    return std::nullopt;
  if (lookupsBelowFloor())
    if (auto it = startFrom(ClassQueues[LookupIndex], now))
      return it;
  for (auto &queue : ClassQueues)
    if (auto it = startFrom(queue, now))
      return it;
  return std::nullopt;
}

void Admission::finish(TicketHandle ticket) {
  auto it = Active.find(ticket);
  if (it == Active.end())
    return;
  if (it->second.Item.Work.Long)
    --LongRunning;
  Active.erase(it);
}

void Admission::cancel(TicketHandle ticket) {
  for (auto &queue : ClassQueues)
    for (auto flow = queue.Flows.begin(); flow != queue.Flows.end(); ++flow)
      for (std::size_t lane = 0; lane < 2; ++lane) {
        const auto &entries = flow->second.Lanes[lane];
        auto at =
            std::find_if(entries.begin(), entries.end(),
                         [&](const Entry &it) { return it.Ticket == ticket; });
        if (at != entries.end()) {
          removeEntry(queue, flow, lane,
                      static_cast<std::size_t>(at - entries.begin()));
          return;
        }
      }
}

std::vector<Shed> Admission::expire(TimePoint now) {
  bool busy = Active.size() >= Slots;
  std::vector<std::pair<TicketHandle, WorkItem>> late;
  for (const auto &queue : ClassQueues)
    for (const auto &[caller, flow] : queue.Flows)
      for (const auto &lane : flow.Lanes)
        for (const auto &it : lane)
          if (it.Item.Deadline <= now ||
              (busy && it.Item.Deadline < now + it.Item.Work.Expected))
            late.emplace_back(it.Ticket, it.Item);
  std::vector<Shed> out;
  for (const auto &[ticket, item] : late) {
    cancel(ticket);
    out.push_back(
        {ticket, refuse(AnswerCode::DeadlinePassed, item, Duration{}, now)});
  }
  return out;
}

std::vector<Shed> Admission::clear(TimePoint now) {
  std::vector<Shed> out;
  for (auto of : {WorkClass::Record, WorkClass::Lookup}) {
    auto &queue = ClassQueues[indexOf(of)];
    for (const auto &[caller, flow] : queue.Flows)
      for (const auto &lane : flow.Lanes)
        for (const auto &it : lane)
          out.push_back({it.Ticket, refuse(AnswerCode::NotOwner, it.Item,
                                           Duration{}, now)});
    queue.Flows.clear();
    queue.Work = {};
  }
  Waiting -= out.size();
  return out;
}

} // namespace peridotfall
