/// \file
/// The fault matrix: every kind of fault, at every location, at every step.

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

/// One cell: its faults are injected together when the step is reached.
struct Cell {
  std::vector<Fault> Faults;
  Step At = Step::Queued;

  auto operator<=>(const Cell &) const = default;
};

struct CellResult {
  std::string Impossible; ///< Why the cell cannot be run; empty: it can.
  bool Ran = false;       ///< The step was reached and the faults injected.
  std::vector<Violation> Violations;

  auto operator<=>(const CellResult &) const = default;
};

struct MatrixReport {
  std::size_t Cells = 0;
  std::size_t Run = 0;
  std::size_t Impossible = 0;
  std::size_t Violations = 0; ///< Cells with at least one violation.

  auto operator<=>(const MatrixReport &) const = default;
};

/// Every fault at every location and step.
std::vector<Cell> singleCells();
/// Every pair of possible faults, each at one step; the steps rotate from pair
/// to pair.
std::vector<Cell> pairCells();

CellResult runCell(const Cell &cell, std::uint64_t seed,
                   const Safeguards &guards = {});
void count(MatrixReport &report, const CellResult &it);

std::string describe(const Cell &it);
std::string describe(const CellResult &it);
/// "cells N, run N, impossible N, violations N".
std::string summary(const MatrixReport &it);

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_MATRIX_H
