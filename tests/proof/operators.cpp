#include "proof/operators.h"

#include <fmt/format.h>
#include <utility>

namespace peridotfall::proof {

namespace {

constexpr int MaxAttempts = 8;
constexpr milliseconds RetryPause{150};

} // namespace

void Operators::apply() {
  Change change;
  change.Desired.Id = fmt::format("c{}", ++LastId);
  change.AttemptsLeft = MaxAttempts;
  read(std::move(change));
}

void Operators::recordOutcome(const Change &change, Outcome reported) {
  Context.RunHistory.Applications.push_back(
      {change.Desired.Id, change.Desired.Revision, reported});
}

void Operators::retry(const Change &change) {
  if (change.AttemptsLeft == 0) {
    recordOutcome(change, change.InDoubt ? Outcome::Unknown : Outcome::NotRun);
    return;
  }
  Context.Net.timer(Node, RetryPause, [this, change] { read(change); });
}

void Operators::read(Change change) {
  --change.AttemptsLeft;
  Platform.get(Node, ConfigurationObject,
               [this, change](const Result<StoredObject> &it) mutable {
                 if (!it) {
                   retry(change);
                   return;
                 }
                 auto current = parseRevision(it.value().Value);
                 if (current.Id == change.Desired.Id) {
                   change.Desired.Revision = current.Revision;
                   recordOutcome(change, Outcome::Done);
                   return;
                 }
                 if (change.InDoubt &&
                     current.Revision >= change.Desired.Revision) {
                   // Replaced by another, or never in force: can't be known.
                   recordOutcome(change, Outcome::Unknown);
                   return;
                 }
                 change.Desired.Revision = current.Revision + 1;
                 write(change, it.value().Version);
               });
}

void Operators::write(Change change, std::uint64_t expected) {
  Platform.put(Node, ConfigurationObject, expected,
               writeRevision(change.Desired),
               [this, change](const Result<StoredObject> &it) mutable {
                 if (it) {
                   Context.Hooks.reached(Step::ConfigurationWritten);
                   recordOutcome(change, Outcome::Done);
                   return;
                 }
                 bool lost = it.error().Code == ErrorCode::Unknown;
                 if (lost && !Context.Guards.LostAnswerReadBack) {
                   recordOutcome(change, Outcome::NotRun);
                   return;
                 }
                 change.InDoubt = change.InDoubt || lost;
                 retry(change);
               });
}

} // namespace peridotfall::proof
