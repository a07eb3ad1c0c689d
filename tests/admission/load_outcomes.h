/// \file
/// The loads of the tests and benchmarks, and their results for the callers.

#ifndef PERIDOTFALL_TESTS_ADMISSION_LOAD_OUTCOMES_H
#define PERIDOTFALL_TESTS_ADMISSION_LOAD_OUTCOMES_H

#include "admission/load_model.h"

#include <algorithm>
#include <array>
#include <map>
#include <vector>

namespace peridotfall::model {

/// One class of requests.
struct ClassOutcome {
  std::size_t Sent = 0;
  std::size_t InTime = 0;
  std::size_t Refused = 0;
  std::size_t Late = 0; ///< Ran, but answered after the deadline.
  Duration Median{};    ///< Of the answers.
  Duration Percentile99{};
};

struct LoadOutcome {
  std::array<ClassOutcome, RequestClasses> Classes;
  ClassOutcome All;
  ClassOutcome Short;     ///< Without the long statements.
  ClassOutcome Retries;   ///< Retries of refused callers.
  double UsefulWork = 0;  ///< Answered in time / capacity.
  double WastedWork = 0;  ///< Answered too late / capacity.
  double LightInTime = 0; ///< Lowest share in time of a light caller.
  double HeavyInTime = 0; ///< Share of caller 0.
  double Fairness = 0;    ///< Jain's index of the light callers' shares.
  double StaleOnReplica = 0;
  double ReadsOnReplica = 0;
  Duration Recovery{};      ///< After the load; negative: never.
  Duration RefusalMedian{}; ///< From request to refusal.
  Duration Refusal99{};
  double LateRefusals = 0; ///< Share of refusals after three quarters
                           ///< of the time to the deadline.
  std::uint64_t LinkBytes = 0;
};

inline ClassOutcome summarise(const std::vector<CallPtr> &calls) {
  ClassOutcome out;
  std::vector<Duration> took;
  for (const auto &it : calls) {
    ++out.Sent;
    out.InTime += it->inTime();
    out.Refused += it->Refused;
    out.Late += it->Ran && !it->Refused && !it->inTime();
    if (it->Ran && !it->Refused)
      took.push_back(it->EndedAt - it->SentAt);
  }
  if (took.empty())
    return out;
  std::sort(took.begin(), took.end());
  out.Median = took[took.size() / 2];
  out.Percentile99 = took[took.size() * 99 / 100];
  return out;
}

template <class Select>
std::vector<CallPtr> select(const std::vector<CallPtr> &calls, Select chosen) {
  std::vector<CallPtr> out;
  std::copy_if(calls.begin(), calls.end(), std::back_inserter(out),
               [&](const CallPtr &it) { return chosen(*it); });
  return out;
}

/// \return time from the end of the load until, in every later tenth of a
/// second, at least 99% of the requests sent are answered in time.
inline Duration recoveryTime(const std::vector<CallPtr> &calls, Duration end) {
  constexpr Duration Step = milliseconds(100);
  constexpr double Enough = 0.99;
  std::map<std::int64_t, std::pair<std::size_t, std::size_t>> steps;
  std::int64_t last = -1;
  for (const auto &it : calls) {
    auto since = it->SentAt - Start - end;
    if (since < Duration{})
      continue;
    auto &step = steps[since / Step];
    ++step.first;
    step.second += it->inTime();
  }
  for (const auto &[n, it] : steps)
    if (static_cast<double>(it.second) < Enough * static_cast<double>(it.first))
      last = n;
  bool never = !steps.empty() && last == steps.rbegin()->first;
  return never ? Duration(-1) : (last + 1) * Step;
}

inline void evaluateCallers(const std::vector<CallPtr> &calls,
                            LoadOutcome &out) {
  std::map<std::size_t, std::pair<double, double>> byCaller;
  for (const auto &it : calls) {
    byCaller[it->Caller].first += 1;
    byCaller[it->Caller].second += it->inTime();
  }
  double sum = 0;
  double squares = 0;
  double n = 0;
  out.LightInTime = 1;
  for (const auto &[caller, it] : byCaller) {
    double share = it.second / it.first;
    if (caller == 0) {
      out.HeavyInTime = share;
      continue;
    }
    out.LightInTime = std::min(out.LightInTime, share);
    sum += share;
    squares += share * share;
    ++n;
  }
  out.Fairness = squares > 0 ? sum * sum / (n * squares) : 0;
}

inline double replicaShare(const std::vector<CallPtr> &reads) {
  double answered = 0;
  double onReplica = 0;
  for (const auto &it : reads) {
    answered += it->Ran && !it->Refused;
    onReplica += it->Ran && !it->Refused && it->FromReplica;
  }
  return answered > 0 ? onReplica / answered : 0;
}

inline void evaluateRefusals(const std::vector<CallPtr> &calls,
                             LoadOutcome &out) {
  constexpr double LateShare = 0.75;
  std::vector<Duration> took;
  double late = 0;
  for (const auto &it : calls) {
    if (!it->Refused)
      continue;
    took.push_back(it->EndedAt - it->SentAt);
    late +=
        static_cast<double>(took.back().count()) >
        LateShare * static_cast<double>((it->Deadline - it->SentAt).count());
  }
  if (took.empty())
    return;
  std::sort(took.begin(), took.end());
  out.RefusalMedian = took[took.size() / 2];
  out.Refusal99 = took[took.size() * 99 / 100];
  out.LateRefusals = late / static_cast<double>(took.size());
}

/// \param end of the load, where the recovery time starts.
inline LoadOutcome evaluate(const std::vector<CallPtr> &calls,
                            const Deployment &sizes, const LoadPlan &plan,
                            Duration end) {
  LoadOutcome out;
  out.All = summarise(calls);
  for (std::size_t n = 0; n < RequestClasses; ++n)
    out.Classes[n] = summarise(select(calls, [&](const Call &it) {
      return it.Class == static_cast<RequestClass>(n);
    }));
  out.Short = summarise(select(calls, [](const Call &it) { return !it.Long; }));
  out.Retries =
      summarise(select(calls, [](const Call &it) { return it.IsRetry; }));
  double useful = 0;
  double wasted = 0;
  for (const auto &it : calls) {
    // The capacity does not include work that ends after the plan.
    if (it->EndedAt <= Start + plan.Length)
      (it->inTime() ? useful : wasted) +=
          static_cast<double>(it->SlotTime.count());
  }
  double capacity = static_cast<double>(plan.Length.count()) * sizes.Slots *
                    static_cast<double>(FailureDomains * plan.Databases);
  out.UsefulWork = useful / capacity;
  out.WastedWork = wasted / capacity;
  evaluateCallers(calls, out);
  evaluateRefusals(calls, out);
  out.StaleOnReplica = replicaShare(select(
      calls, [](const Call &it) { return it.Class == RequestClass::Stale; }));
  out.ReadsOnReplica = replicaShare(select(
      calls, [](const Call &it) { return it.Class != RequestClass::Record; }));
  out.Recovery = recoveryTime(calls, end);
  return out;
}

inline LoadOutcome runLoad(const Deployment &sizes, const LoadPlan &plan,
                           Policy policy, std::uint64_t seed) {
  Simulation simulation(sizes, plan, policy, seed);
  auto calls = simulation.run();
  auto end = std::max(plan.RaisedTo, plan.SlowTo);
  auto out = evaluate(calls, sizes, plan, end);
  out.LinkBytes = simulation.linkBytes();
  return out;
}

inline LoadPlan burst() {
  LoadPlan it;
  it.Name = "burst 10x for 5 s";
  it.Base = 0.3;
  it.Raised = 3;
  it.RaisedFrom = seconds(5);
  it.RaisedTo = seconds(10);
  return it;
}

inline LoadPlan burstWithRetries() {
  LoadPlan it = burst();
  it.Name = "burst, come back";
  it.Length = seconds(40);
  it.RefusedRetry = true;
  return it;
}

inline LoadPlan oneCaller() {
  LoadPlan it;
  it.Name = "one caller 80%";
  it.Base = 1.5;
  it.HeavyCaller = 0.8;
  return it;
}

inline LoadPlan slowTarget() {
  LoadPlan it;
  it.Name = "target 10x slower";
  it.Base = 0.5;
  it.SlowFactor = 10;
  it.SlowFrom = seconds(5);
  it.SlowTo = seconds(15);
  it.Length = seconds(25);
  return it;
}

inline LoadPlan shortOnly() {
  LoadPlan it;
  it.Name = "short only";
  it.Base = 0.2;
  return it;
}

inline LoadPlan longMix() {
  LoadPlan it = shortOnly();
  it.Name = "5% 50x longer";
  it.LongShare = 0.05;
  return it;
}

inline LoadPlan saturation() {
  LoadPlan it;
  it.Name = "saturation 2x";
  it.Base = 2;
  it.Length = seconds(60);
  return it;
}

inline LoadPlan lagging(Duration lag) {
  LoadPlan it;
  auto ms = std::chrono::duration_cast<milliseconds>(lag).count();
  it.Name = "lag " + std::to_string(ms) + " ms";
  it.Lag = lag;
  return it;
}

} // namespace peridotfall::model

#endif // PERIDOTFALL_TESTS_ADMISSION_LOAD_OUTCOMES_H
