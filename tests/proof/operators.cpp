#include "proof/operators.h"

#include <fmt/format.h>
#include <utility>

namespace peridotfall::proof {

namespace {

constexpr int Tries = 8;
constexpr milliseconds RetryPause{150};

} // namespace

void Operators::apply() {
  Change change;
  change.It.Id = fmt::format("c{}", ++LastId);
  change.TriesLeft = Tries;
  read(std::move(change));
}

void Operators::tell(const Change &change, Outcome told) {
  At.Past.Applications.push_back({change.It.Id, change.It.Revision, told});
}

void Operators::again(const Change &change) {
  if (change.TriesLeft == 0) {
    tell(change, change.InDoubt ? Outcome::Unknown : Outcome::NotRun);
    return;
  }
  At.Net.timer(Node, RetryPause, [this, change] { read(change); });
}

void Operators::read(Change change) {
  --change.TriesLeft;
  Platform.get(Node, ConfigurationObject,
               [this, change](const Result<StoredObject> &it) mutable {
                 if (!it) {
                   again(change);
                   return;
                 }
                 auto current = parseRevision(it.value().Value);
                 if (current.Id == change.It.Id) {
                   change.It.Revision = current.Revision;
                   tell(change, Outcome::Done);
                   return;
                 }
                 if (change.InDoubt && current.Revision >= change.It.Revision) {
                   // Replaced by another, or never in force: not to be told.
                   tell(change, Outcome::Unknown);
                   return;
                 }
                 change.It.Revision = current.Revision + 1;
                 write(change, it.value().Version);
               });
}

void Operators::write(Change change, std::uint64_t expected) {
  Platform.put(Node, ConfigurationObject, expected, writeRevision(change.It),
               [this, change](const Result<StoredObject> &it) mutable {
                 if (it) {
                   At.Reached.pass(Step::ConfigurationWritten);
                   tell(change, Outcome::Done);
                   return;
                 }
                 bool lost = it.error().Code == ErrorCode::Unknown;
                 if (lost && !At.Guards.LostAnswerReadBack) {
                   tell(change, Outcome::NotRun);
                   return;
                 }
                 change.InDoubt = change.InDoubt || lost;
                 again(change);
               });
}

} // namespace peridotfall::proof
