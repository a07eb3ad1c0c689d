// Long runs with random faults in virtual time, for scripts/soak.sh.

#include "proof/soak.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <string>

DEFINE_uint64(seed, 1, "seed of a single run");
DEFINE_uint64(seconds, 60, "virtual seconds with faults in each run");
DEFINE_string(seeds, "",
              "A..B: one run for each seed of this range, instead of --seed");

namespace {

using peridotfall::proof::SoakReport;

/// Prints the violations of one run.
SoakReport runOne(std::uint64_t seed) {
  auto report =
      peridotfall::proof::runSoak(seed, std::chrono::seconds(FLAGS_seconds));
  for (const auto &it : report.Violations)
    fmt::print("seed {}: {}: {}\n", seed, peridotfall::proof::toString(it.What),
               it.Detail);
  return report;
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  auto first = FLAGS_seed;
  auto last = FLAGS_seed;
  auto dots = FLAGS_seeds.find("..");
  if (dots != std::string::npos) {
    first = std::stoull(FLAGS_seeds.substr(0, dots));
    last = std::stoull(FLAGS_seeds.substr(dots + 2));
  }
  SoakReport all;
  for (auto seed = first; seed <= last; ++seed) {
    auto it = runOne(seed);
    all.Operations += it.Operations;
    all.Faults += it.Faults;
    all.Failovers += it.Failovers;
    all.Violations.insert(all.Violations.end(), it.Violations.begin(),
                          it.Violations.end());
  }
  fmt::print("{}\n", peridotfall::proof::summary(all));
  return all.Violations.empty() ? 0 : 1;
}
