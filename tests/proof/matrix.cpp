#include "proof/matrix.h"

#include "proof/world.h"

#include <fmt/format.h>

namespace peridotfall::proof {

namespace {

constexpr milliseconds Warmup{1'500};
/// Time for the step to be reached after its trigger.
constexpr milliseconds StepLimit{8'000};
constexpr milliseconds FaultSpan{2'500};
constexpr milliseconds Poll{50};

std::string whyImpossible(const Cell &cell) {
  for (const auto &it : cell.Faults) {
    auto why = proof::whyImpossible(it);
    if (!why.empty())
      return why;
  }
  return "";
}

/// Triggers what leads to the step. Steps of requests need no trigger: callers
/// send requests all the time.
void trigger(World &world, Step step) {
  switch (step) {
  case Step::Nominated:
  case Step::OneFenced:
  case Step::MajorityFenced:
  case Step::Promoted:
  case Step::Published:
    world.killPrimary();
    break;
  case Step::ConfigurationWritten:
  case Step::ConfigurationPassedOn:
  case Step::ConfigurationHalfInForce:
    world.applyConfiguration();
    break;
  case Step::Draining:
    world.leave();
    break;
  default:
    break;
  }
}

} // namespace

std::vector<Cell> singleCells() {
  std::vector<Cell> out;
  for (int kind = 0; kind < FaultKindCount; ++kind)
    for (int location = 0; location < FaultLocationCount; ++location)
      for (int step = 0; step < StepCount; ++step)
        out.push_back({{{static_cast<FaultKind>(kind),
                         static_cast<FaultLocation>(location)}},
                       static_cast<Step>(step)});
  return out;
}

std::vector<Cell> pairCells() {
  auto faults = possibleFaults();
  std::vector<Cell> out;
  for (std::size_t a = 0; a < faults.size(); ++a)
    for (std::size_t b = a + 1; b < faults.size(); ++b) {
      auto step = static_cast<Step>(out.size() % StepCount);
      out.push_back({{faults[a], faults[b]}, step});
    }
  return out;
}

CellResult runCell(const Cell &cell, std::uint64_t seed,
                   const Safeguards &guards) {
  CellResult out;
  out.Impossible = whyImpossible(cell);
  if (!out.Impossible.empty())
    return out;
  World world(seed, guards);
  world.runFor(Warmup);
  std::vector<Action> ends;
  world.steps().onNext(cell.At, [&] {
    // Injected as an event of its own, not while the step's event runs.
    world.schedule([&] {
      out.Ran = true;
      for (const auto &it : cell.Faults)
        ends.push_back(world.inject(it));
    });
  });
  trigger(world, cell.At);
  auto limit = world.now() + StepLimit;
  while (!out.Ran && world.now() < limit)
    world.runFor(Poll);
  world.runFor(FaultSpan);
  for (const auto &end : ends)
    end();
  out.Violations = checkHistory(world.finish());
  return out;
}

void count(MatrixReport &report, const CellResult &it) {
  ++report.Cells;
  report.Run += it.Ran ? 1 : 0;
  report.Impossible += it.Impossible.empty() ? 0 : 1;
  report.Violations += it.Violations.empty() ? 0 : 1;
}

std::string describe(const Cell &cell) {
  std::string out;
  for (const auto &it : cell.Faults)
    out += fmt::format("{}{} at {}", out.empty() ? "" : " + ",
                       toString(it.Kind), toString(it.Location));
  return fmt::format("{} | {}", out, toString(cell.At));
}

std::string describe(const CellResult &it) {
  if (!it.Impossible.empty())
    return "impossible: " + it.Impossible;
  if (!it.Violations.empty())
    return fmt::format("VIOLATION {}: {}", toString(it.Violations.front().What),
                       it.Violations.front().Detail);
  return it.Ran ? "kept" : "NOT RUN: the step was not reached";
}

std::string summary(const MatrixReport &it) {
  return fmt::format("cells {}, run {}, impossible {}, violations {}", it.Cells,
                     it.Run, it.Impossible, it.Violations);
}

} // namespace peridotfall::proof
