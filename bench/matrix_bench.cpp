// The whole fault matrix in virtual time, for scripts/fault-matrix.sh.

#include "proof/matrix.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of each cell");
DEFINE_bool(pairs, false, "pairs of faults in place of single ones");
DEFINE_uint64(part, 0,
              "with --parts: runs each cell whose number modulo the "
              "parts is this");
DEFINE_uint64(parts, 1, "parts that run side by side");

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
  bool whole = report.Run + report.Impossible == report.Cells;
  return report.Violations == 0 && whole ? 0 : 1;
}
