// Runs the complete fault matrix in virtual time, for scripts/fault-matrix.sh.

#include "proof/matrix.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of each cell");
DEFINE_bool(pairs, false, "run pairs of faults instead of single ones");
DEFINE_uint64(part, 0,
              "run only the cells whose number modulo --parts is this");
DEFINE_uint64(parts, 1, "number of parts that run in parallel");

int main(int argc, char **argv) {
  using namespace peridotfall::proof;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  auto cells = FLAGS_pairs ? pairCells() : singleCells();
  MatrixReport report;
  for (auto n = FLAGS_part; n < cells.size(); n += FLAGS_parts) {
    auto verdict = runCell(cells[n], FLAGS_seed);
    count(report, verdict);
    fmt::print("{:5} {}: {}\n", n, describe(cells[n]), describe(verdict));
  }
  fmt::print("{}\n", summary(report));
  bool complete = report.Run + report.Impossible == report.Cells;
  return report.Violations == 0 && complete ? 0 : 1;
}
