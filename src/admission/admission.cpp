#include "peridotfall/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotfall {

namespace {

constexpr Duration HalveAt = 2 * Duration(limits::RateWindow);

std::size_t indexOf(WorkClass it) { return static_cast<std::size_t>(it); }

constexpr std::size_t LookupIndex = static_cast<std::size_t>(WorkClass::Lookup);

double decayed(double value, TimePoint since, TimePoint now,
               std::chrono::duration<double> window = limits::RateWindow) {
  auto passed = std::chrono::duration<double>(now - since);
  return value * std::exp(-passed / window);
}

Duration scaled(Duration it, double by) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(it.count()) * by));
}

} // namespace

Admission::Admission(std::uint32_t slots, std::uint64_t seed)
    : Slots(std::max(slots, 1U)), Random(seed) {}

/// Load: a few long statements among short ones. Harm: each slot taken by a
/// long one, and every lookup waits for a report. Reason: with one slot kept
/// short work always moves; with a single slot there is nothing to keep.
bool Admission::longMayStart() const {
  return Slots < 2 || LongRunning < Slots - 1;
}

bool Admission::slotFree(bool isLong) const {
  return Active.size() < Slots && (!isLong || longMayStart());
}

bool Admission::lookupsFirst() const {
  return static_cast<double>(GivenLookups.count()) <
         limits::LookupFloor * static_cast<double>(GivenAll.count());
}

/// Work still to do on the slots that the statement could get. A statement
/// that overran is expected to need half as long again as it took: a stuck
/// target then shows as a growing wait, not as one about to end.
Duration Admission::remaining(bool isLong, TimePoint now) const {
  Duration sum{};
  for (const auto &[ticket, it] : Active) {
    auto passed = now - it.At;
    auto expected = it.Item.Work.Expected;
    if (it.Item.Work.Long == isLong)
      sum += passed <= expected ? expected - passed / 2 : passed / 2;
  }
  return sum;
}

/// Callers take turns, so of another caller's work no more than the
/// statement's own caller has waiting comes before it.
Duration Admission::workAhead(const WorkItem &item) const {
  std::size_t lane = item.Work.Long ? 1 : 0;
  Duration sum{};
  for (std::size_t n = 0; n < indexOf(item.Class); ++n)
    sum += Lines[n].Work[lane];
  const auto &line = Lines[indexOf(item.Class)];
  auto own = line.Flows.find(item.Caller);
  Duration mine = own == line.Flows.end() ? Duration{} : own->second.Work[lane];
  sum += mine;
  for (const auto &[caller, flow] : line.Flows)
    if (caller != item.Caller)
      sum += std::min(flow.Work[lane], mine + item.Work.Expected);
  return sum;
}

double Admission::recordLoad(TimePoint now) const {
  auto window = static_cast<double>(Duration(limits::RateWindow).count());
  return decayed(RecordRate, RecordAt, now) / (window * Slots);
}

void Admission::noteRecord(const WorkItem &item, TimePoint now) {
  if (item.Class == WorkClass::Lookup)
    return;
  RecordRate = decayed(RecordRate, RecordAt, now) +
               static_cast<double>(item.Work.Expected.count());
  RecordAt = now;
}

/// Slots that serve the statement's line while it waits: writes of record
/// that come meanwhile go before a lookup.
double Admission::rateFor(const WorkItem &item, TimePoint now) const {
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
  if (ahead == Duration{} && slotFree(item.Work.Long))
    return {};
  return scaled(remaining(item.Work.Long, now) + ahead, 1 / rateFor(item, now));
}

Duration Admission::shortWait(TimePoint now) const {
  Duration ahead{};
  for (const auto &it : Lines)
    ahead += it.Work[0];
  if (ahead == Duration{} && slotFree(false))
    return {};
  return scaled(remaining(false, now) + ahead, 1 / rateFor({}, now));
}

bool Admission::fits(const WorkItem &item, Duration wait, TimePoint now) const {
  auto left = item.Deadline - now;
  if (left <= Duration{})
    return false;
  // A wrong estimate must be able to correct itself: with a slot free the
  // statement runs, whatever it is expected to take.
  if (wait == Duration{})
    return true;
  double share = item.Class == WorkClass::Lookup ? limits::LookupWaitShare
                                                 : limits::RecordWaitShare;
  return wait <= scaled(left, share) && wait + item.Work.Expected <= left;
}

/// Load: saturation, with callers that come back. Harm: all come back in the
/// same moment and are refused again. Reason: the time is what the queue needs
/// to become short enough, and is spread over what the slots need for all the
/// work refused lately.
Refusal Admission::refuse(AnswerCode code, const WorkItem &item, Duration wait,
                          TimePoint now) {
  RefusedWork = decayed(RefusedWork, RefusedAt, now, limits::RefusedWindow) +
                static_cast<double>(item.Work.Expected.count());
  RefusedAt = now;
  auto allowed = scaled(std::max(item.Deadline - now, Duration{}),
                        limits::LookupWaitShare);
  auto drain = std::max(wait - allowed, Duration(limits::LeastRetryAfter));
  auto spread = std::max(
      drain, Duration(static_cast<Duration::rep>(RefusedWork / Slots)));
  auto after =
      drain + scaled(spread, std::uniform_real_distribution<>(0, 1)(Random));
  return {code, std::clamp(after, Duration(limits::LeastRetryAfter),
                           Duration(limits::MostRetryAfter))};
}

Offer Admission::offer(const WorkItem &item, TimePoint now) {
  Offer out;
  noteRecord(item, now);
  auto wait = expectedWait(item, now);
  if (!fits(item, wait, now)) {
    bool late = item.Deadline <= now;
    out.Why = refuse(late ? AnswerCode::DeadlinePassed : AnswerCode::Overloaded,
                     item, wait, now);
    return out;
  }
  if (Waiting >= limits::MaxQueued) {
    const auto &flows = Lines[indexOf(item.Class)].Flows;
    auto own = flows.find(item.Caller);
    auto other = takeHeaviest(own == flows.end() ? 0 : own->second.size());
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
  auto &line = Lines[indexOf(entry.Item.Class)];
  std::size_t lane = entry.Item.Work.Long ? 1 : 0;
  auto &flow = line.Flows[entry.Item.Caller];
  // A caller that had nothing waiting has saved up no turns.
  if (flow.Lanes[lane].empty())
    flow.VirtualTime[lane] =
        std::max(flow.VirtualTime[lane], line.VirtualNow[lane]);
  flow.Work[lane] += entry.Item.Work.Expected;
  line.Work[lane] += entry.Item.Work.Expected;
  flow.Lanes[lane].push_back(std::move(entry));
  ++Waiting;
}

Admission::Entry Admission::take(Line &line, FlowIt flow, std::size_t lane,
                                 std::size_t index) {
  auto &entries = flow->second.Lanes[lane];
  auto at = entries.begin() + static_cast<std::ptrdiff_t>(index);
  auto out = std::move(*at);
  entries.erase(at);
  flow->second.Work[lane] -= out.Item.Work.Expected;
  line.Work[lane] -= out.Item.Work.Expected;
  if (flow->second.empty())
    line.Flows.erase(flow);
  --Waiting;
  return out;
}

std::optional<Admission::Entry> Admission::takeHeaviest(std::size_t above) {
  auto &line = Lines[LookupIndex];
  auto heaviest = std::max_element(line.Flows.begin(), line.Flows.end(),
                                   [](const auto &a, const auto &b) {
                                     return a.second.size() < b.second.size();
                                   });
  if (heaviest == line.Flows.end() || heaviest->second.size() <= above)
    return std::nullopt;
  auto &lanes = heaviest->second.Lanes;
  std::size_t lane = lanes[0].size() >= lanes[1].size() ? 0 : 1;
  return take(line, heaviest, lane, lanes[lane].size() - 1);
}

/// Load: writes of record and light callers that came after a heavy caller.
/// Harm: its last lookups are pushed past their deadlines, and learn so only
/// then. Reason: the last in the order is refused as soon as it no longer
/// fits, while its caller has time to go elsewhere.
void Admission::shedLate(std::size_t lane, TimePoint now,
                         std::vector<Shed> &out) {
  auto &line = Lines[LookupIndex];
  bool isLong = lane == 1;
  constexpr int Most = 8; // Bounds the work of one offer.
  for (int n = 0; n < Most && !slotFree(isLong); ++n) {
    auto last = line.Flows.end();
    for (auto it = line.Flows.begin(); it != line.Flows.end(); ++it)
      if (!it->second.Lanes[lane].empty() &&
          (last == line.Flows.end() ||
           last->second.VirtualTime[lane] + last->second.Work[lane] <
               it->second.VirtualTime[lane] + it->second.Work[lane]))
        last = it;
    if (last == line.Flows.end())
      return;
    const auto &entries = last->second.Lanes[lane];
    const auto &item = entries.back().Item;
    Duration ahead = remaining(isLong, now) - item.Work.Expected;
    for (const auto &it : Lines)
      ahead += it.Work[lane];
    auto wait = scaled(ahead, 1 / rateFor(item, now));
    if (now + wait + item.Work.Expected <= item.Deadline)
      return;
    auto entry = take(line, last, lane, entries.size() - 1);
    out.push_back(
        {entry.Ticket, refuse(AnswerCode::Overloaded, entry.Item, wait, now)});
  }
}

Admission::FlowIt Admission::nextIn(Line &line, std::size_t lane) {
  auto best = line.Flows.end();
  for (auto it = line.Flows.begin(); it != line.Flows.end(); ++it)
    if (!it->second.Lanes[lane].empty() &&
        (best == line.Flows.end() ||
         it->second.VirtualTime[lane] < best->second.VirtualTime[lane]))
      best = it;
  return best;
}

std::optional<TicketHandle> Admission::startFrom(Line &line, TimePoint now) {
  auto none = line.Flows.end();
  auto best = nextIn(line, 0);
  std::size_t lane = 0;
  if (longMayStart()) {
    auto other = nextIn(line, 1);
    // Of the two lanes the one that has waited longer goes first.
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
  line.VirtualNow[lane] = flow.VirtualTime[lane];
  flow.VirtualTime[lane] += expected;
  auto entry = take(line, best, lane, 0);
  LongRunning += lane;
  GivenAll += expected;
  if (entry.Item.Class == WorkClass::Lookup)
    GivenLookups += expected;
  if (GivenAll > HalveAt) {
    GivenAll /= 2;
    GivenLookups /= 2;
  }
  Active[entry.Ticket] = {std::move(entry.Item), now};
  return entry.Ticket;
}

std::optional<TicketHandle> Admission::next(TimePoint now) {
  if (Active.size() >= Slots)
    return std::nullopt;
  if (lookupsFirst())
    if (auto it = startFrom(Lines[LookupIndex], now))
      return it;
  for (auto &line : Lines)
    if (auto it = startFrom(line, now))
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
  for (auto &line : Lines)
    for (auto flow = line.Flows.begin(); flow != line.Flows.end(); ++flow)
      for (std::size_t lane = 0; lane < 2; ++lane) {
        const auto &entries = flow->second.Lanes[lane];
        auto at =
            std::find_if(entries.begin(), entries.end(),
                         [&](const Entry &it) { return it.Ticket == ticket; });
        if (at != entries.end()) {
          take(line, flow, lane,
               static_cast<std::size_t>(at - entries.begin()));
          return;
        }
      }
}

std::vector<Shed> Admission::expire(TimePoint now) {
  bool busy = Active.size() >= Slots;
  std::vector<std::pair<TicketHandle, WorkItem>> late;
  for (const auto &line : Lines)
    for (const auto &[caller, flow] : line.Flows)
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
    auto &line = Lines[indexOf(of)];
    for (const auto &[caller, flow] : line.Flows)
      for (const auto &lane : flow.Lanes)
        for (const auto &it : lane)
          out.push_back({it.Ticket, refuse(AnswerCode::NotOwner, it.Item,
                                           Duration{}, now)});
    line.Flows.clear();
    line.Work = {};
  }
  Waiting -= out.size();
  return out;
}

} // namespace peridotfall
