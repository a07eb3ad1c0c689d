#include "daemon/confirm.h"

#include <atomic>
#include <memory>
#include <utility>

namespace peridotfall {

namespace {

/// One confirmation under way; the first replica that holds the position
/// decides, or the last answer.
struct Round {
  TargetPtr Primary;
  Position At;
  OnConfirmed Done;
  std::atomic<int> Waiting{0};
  std::atomic<bool> Held{false};
};
using RoundPtr = std::shared_ptr<Round>;

/// Failure: the primary was cut off and a majority accepted a higher term
/// while the replica's answer travelled. Symptom: an acknowledgement by a
/// replaced primary. The replica's answer alone proves that the write is in
/// every later term; the primary's keeps a fenced one from answering.
void askPrimary(const RoundPtr &round) {
  round->Primary->Calls.GetStatus([round](const Result<target::Status> &it) {
    round->Done(it && it.value().IsPrimary &&
                it.value().CurrentTerm == round->At.InTerm);
  });
}

/// A replica fenced into the term with a diverged tail has the length and not
/// the content, so its last record must be of the term itself.
bool holds(const target::Status &it, Position at) {
  return it.CurrentTerm == at.InTerm && it.Last.InTerm == at.InTerm &&
         it.Last >= at;
}

void takeReplica(const RoundPtr &round, const Result<target::Status> &it) {
  bool last = --round->Waiting == 0;
  if (it && holds(it.value(), round->At)) {
    if (!round->Held.exchange(true))
      askPrimary(round);
  } else if (last && !round->Held.exchange(true)) {
    round->Done(false);
  }
}

} // namespace

void confirmPosition(Targets &targets, const DatabaseConfig &database,
                     const TargetName &primary, Position at,
                     std::chrono::milliseconds limit, OnConfirmed done) {
  auto round = std::make_shared<Round>();
  round->At = at;
  round->Done = std::move(done);
  std::vector<TargetPtr> replicas;
  for (const auto &it : database.Targets) {
    auto api = targets.get(it.Address);
    if (it.Name == primary)
      round->Primary = api;
    else
      replicas.push_back(std::move(api));
  }
  round->Waiting = static_cast<int>(replicas.size());
  if (!round->Primary || replicas.empty()) {
    round->Done(false);
    return;
  }
  for (const auto &it : replicas)
    it->Calls.AwaitPosition(at.InTerm, at, limit,
                            [round](const Result<target::Status> &status) {
                              takeReplica(round, status);
                            });
}

} // namespace peridotfall
