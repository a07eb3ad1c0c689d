// Admission and routing under load, compared with a baseline on the same loads
// and seed, in virtual time. Usage: load_bench [--json] [--seed=N] [--short]

#include "admission/load_outcomes.h"
#include "base/document.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_bool(json, false, "print the results as JSON");
DEFINE_uint64(seed, 1, "seed of all random choices");
DEFINE_bool(short, false, "saturation for 10 s instead of 60 s");

namespace {

using namespace peridotfall;
using namespace peridotfall::model;

double ms(Duration it) {
  return std::chrono::duration<double, std::milli>(it).count();
}

Json toJson(const ClassOutcome &it) {
  return {{"sent", it.Sent},           {"inTime", it.InTime},
          {"refused", it.Refused},     {"late", it.Late},
          {"medianMs", ms(it.Median)}, {"p99Ms", ms(it.Percentile99)}};
}

Json toJson(const LoadOutcome &it) {
  return {{"all", toJson(it.All)},
          {"short", toJson(it.Short)},
          {"again", toJson(it.Retries)},
          {"record", toJson(it.Classes[0])},
          {"fresh", toJson(it.Classes[1])},
          {"stale", toJson(it.Classes[2])},
          {"usefulWork", it.UsefulWork},
          {"wastedWork", it.WastedWork},
          {"leastLightCaller", it.LightInTime},
          {"heavyCaller", it.HeavyInTime},
          {"fairness", it.Fairness},
          {"staleOnReplica", it.StaleOnReplica},
          {"readsOnReplica", it.ReadsOnReplica},
          {"recoveryMs", ms(it.Recovery)},
          {"refusalMedianMs", ms(it.RefusalMedian)},
          {"refusalP99Ms", ms(it.Refusal99)},
          {"lateRefusals", it.LateRefusals},
          {"linkBytes", it.LinkBytes}};
}

double percent(std::size_t n, std::size_t of) {
  return of == 0 ? 0 : 100.0 * static_cast<double>(n) / static_cast<double>(of);
}

void printHeader(const Deployment &sizes) {
  std::cout << fmt::format(
      "\n{}: 3 databases x 3 targets of {} slots, {} connections\n"
      "{:<18} {:<11} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>7} "
      "{:>7} {:>5} {:>5} {:>6} {:>6} {:>6} {:>6} {:>6} {:>5} {:>7}\n",
      sizes.Name, sizes.Slots, sizes.Connections, "load", "policy", "sent",
      "intime", "refus.", "late", "record", "useful", "recP50", "recP99",
      "shrP50", "shrP99", "light", "jain", "stale", "reads", "recov.", "rfP99",
      "rfLate", "again", "link KB");
}

void print(const std::string &load, const char *policy, const LoadOutcome &it) {
  constexpr double Kilo = 1e3;
  auto recovery = it.Recovery < Duration{}
                      ? "never"
                      : fmt::format("{:.1f}s", ms(it.Recovery) / Kilo);
  std::cout << fmt::format(
      "{:<18} {:<11} {:>6} {:>6.2f} {:>6.2f} {:>6.2f} {:>6.2f} {:>6.1f} "
      "{:>7.1f} {:>7.1f} {:>7.1f} {:>7.1f} {:>5.1f} {:>5.2f} {:>6.1f} "
      "{:>6.1f} {:>6} {:>6.0f} {:>6.2f} {:>5.1f} {:>7.0f}\n",
      load, policy, it.All.Sent, percent(it.All.InTime, it.All.Sent),
      percent(it.All.Refused, it.All.Sent), percent(it.All.Late, it.All.Sent),
      percent(it.Classes[0].InTime, it.Classes[0].Sent), 100 * it.UsefulWork,
      ms(it.Classes[0].Median), ms(it.Classes[0].Percentile99),
      ms(it.Short.Median), ms(it.Short.Percentile99), 100 * it.LightInTime,
      it.Fairness, 100 * it.StaleOnReplica, 100 * it.ReadsOnReplica, recovery,
      ms(it.Refusal99), 100 * it.LateRefusals,
      percent(it.Retries.InTime, it.Retries.Sent),
      static_cast<double>(it.LinkBytes) / Kilo);
}

std::vector<LoadPlan> plans() {
  std::vector<LoadPlan> out{burst(),      burstWithRetries(), oneCaller(),
                            slowTarget(), shortOnly(),        longMix(),
                            saturation()};
  for (int lag : {0, 100, 500, 1'000, 2'000, 5'000})
    out.push_back(lagging(milliseconds(lag)));
  if (FLAGS_short)
    for (auto &it : out)
      it.Length = std::min(it.Length, Duration(seconds(25)));
  return out;
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Json results = Json::array();
  for (const auto &sizes : {lendleht(), thaali()}) {
    if (!FLAGS_json)
      printHeader(sizes);
    for (const auto &plan : plans())
      for (auto policy : {Policy::Peridotfall, Policy::Baseline}) {
        const char *name =
            policy == Policy::Peridotfall ? "peridotfall" : "baseline";
        auto outcome = runLoad(sizes, plan, policy, FLAGS_seed);
        if (!FLAGS_json)
          print(plan.Name, name, outcome);
        auto entry = toJson(outcome);
        entry["deployment"] = sizes.Name;
        entry["load"] = plan.Name;
        entry["policy"] = name;
        results.push_back(std::move(entry));
      }
  }
  if (FLAGS_json)
    std::cout << Json{{"seed", FLAGS_seed}, {"runs", results}}.dump(2) << "\n";
  else
    std::cout
        << "\nShares in percent, times in ms; seed " << FLAGS_seed
        << ".\nuseful: work answered in time, of the capacity; record: "
           "writes of record in time; shr: statements that are not long;"
           "\nlight: the least served light caller, jain: fairness among "
           "them; stale, reads: share answered by replicas;\nrecov.: "
           "until 99% are in time again; rfP99: time until "
           "a refusal; rfLate: refusals near the deadline; "
           "again: refused, retried after the given delay,\nand answered in "
           "time.\n";
  return 0;
}
