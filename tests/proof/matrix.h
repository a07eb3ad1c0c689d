/// \file
/// The fault matrix: every fault, at every place, at every step, as a table.

#ifndef PERIDOTFALL_PROOF_MATRIX_H
#define PERIDOTFALL_PROOF_MATRIX_H

#include "proof/faults.h"
#include "proof/history.h"
#include "proof/safeguards.h"
#include "proof/steps.h"

#include <compare>
#include <string>
#include <vector>

namespace peridotfall::proof {

/// One cell: the faults strike together as the step is passed.
struct Cell {
  std::vector<Fault> Faults;
  Step At = Step::Queued;

  auto operator<=>(const Cell &) const = default;
};

struct Verdict {
  std::string Impossible; ///< The reason; empty: it can happen.
  bool Ran = false;       ///< The step was reached, and the faults struck.
  std::vector<Violation> Violations;

  auto operator<=>(const Verdict &) const = default;
};

struct MatrixReport {
  std::size_t Cells = 0;
  std::size_t Run = 0;
  std::size_t Impossible = 0;
  std::size_t Violations = 0; ///< Cells that broke a promise.

  auto operator<=>(const MatrixReport &) const = default;
};

/// Every fault at every place and step.
std::vector<Cell> singleCells();
/// Every two faults that can strike, each pair at one step; the steps change
/// from pair to pair.
std::vector<Cell> pairCells();

Verdict runCell(const Cell &cell, std::uint64_t seed,
                const Safeguards &guards = {});
void count(MatrixReport &report, const Verdict &it);

std::string describe(const Cell &it);
std::string describe(const Verdict &it);
/// "cells N, run N, impossible N, violations N".
std::string summary(const MatrixReport &it);

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_MATRIX_H
