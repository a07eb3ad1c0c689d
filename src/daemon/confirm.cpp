#include "daemon/confirm.h"

#include "daemon/failover_calls.h"

#include <optional>
#include <utility>

namespace peridotfall {

using failover::TargetReport;

/// The confirmation rounds of one primary, and its group's targets.
struct Confirmer::PrimaryRounds {
  std::mutex Lock;
  failover::ConfirmState State;
  DatabaseConfig Database;
  TargetPtr Primary;
  std::vector<TargetPtr> Replicas;
  std::map<TicketHandle, OnConfirmed> Waiting;
};

void Confirmer::run(const Clock &clock, const RoundsPtr &rounds,
                    const Step &step) {
  failover::ConfirmActions actions;
  std::vector<std::pair<OnConfirmed, bool>> answers;
  {
    std::lock_guard guard(rounds->Lock);
    actions = step(rounds->State);
    for (const auto &it : actions)
      if (const auto *done = std::get_if<failover::ConfirmResult>(&it)) {
        auto waiting = rounds->Waiting.extract(done->Ticket);
        answers.emplace_back(std::move(waiting.mapped()), done->IsConfirmed);
      }
  }
  for (const auto &it : actions)
    if (const auto *replicas = std::get_if<failover::QueryReplicas>(&it))
      query(clock, rounds, *replicas);
    else if (const auto *primary = std::get_if<failover::QueryPrimary>(&it))
      query(clock, rounds, *primary);
  for (const auto &[done, safe] : answers)
    done(safe);
}

void Confirmer::query(const Clock &clock, const RoundsPtr &rounds,
                      const failover::QueryReplicas &it) {
  auto done = [&clock, rounds, it](const Result<target::Status> &status) {
    std::optional<TargetReport> report;
    if (status)
      report = toReport(status.value());
    run(clock, rounds, [&](failover::ConfirmState &state) {
      return failover::onReplica(state, it.Round, report, clock.now());
    });
  };
  std::vector<TargetPtr> replicas;
  {
    std::lock_guard guard(rounds->Lock);
    replicas = rounds->Replicas;
  }
  for (const auto &replica : replicas)
    replica->Calls.AwaitPosition(it.At.InTerm, it.At, it.Wait, done);
}

void Confirmer::query(const Clock &clock, const RoundsPtr &rounds,
                      const failover::QueryPrimary &it) {
  auto done = [&clock, rounds, it](const Result<target::Status> &status) {
    std::optional<TargetReport> report;
    if (status)
      report = toReport(status.value());
    run(clock, rounds, [&](failover::ConfirmState &state) {
      return failover::onPrimary(state, it.Round, report, clock.now());
    });
  };
  TargetPtr primary;
  {
    std::lock_guard guard(rounds->Lock);
    primary = rounds->Primary;
  }
  primary->Calls.GetStatus(done);
}

void Confirmer::confirmPosition(const DatabaseConfig &database,
                                const TargetName &primary, Position at,
                                std::chrono::milliseconds limit,
                                OnConfirmed done) {
  RoundsPtr rounds;
  {
    std::lock_guard guard(Lock);
    auto &it = RoundsByPrimary[primary];
    if (!it)
      it = std::make_shared<PrimaryRounds>();
    rounds = it;
  }
  bool possible = false;
  {
    std::lock_guard guard(rounds->Lock);
    if (rounds->Database != database) {
      rounds->Database = database;
      rounds->Primary.reset();
      rounds->Replicas.clear();
      for (const auto &it : database.Targets) {
        auto api = Apis.get(it.Address);
        if (it.Name == primary)
          rounds->Primary = std::move(api);
        else
          rounds->Replicas.push_back(std::move(api));
      }
      rounds->State.Replicas = rounds->Replicas.size();
    }
    possible = rounds->Primary && !rounds->Replicas.empty();
  }
  if (!possible) {
    done(false);
    return;
  }
  run(Time, rounds, [&](failover::ConfirmState &state) {
    TicketHandle ticket;
    auto now = Time.now();
    auto actions = failover::onCommitted(state, at, now + limit, now, ticket);
    rounds->Waiting[ticket] = std::move(done);
    return actions;
  });
}

void Confirmer::expire() {
  std::map<TargetName, RoundsPtr> all;
  {
    std::lock_guard guard(Lock);
    all = RoundsByPrimary;
  }
  for (const auto &[primary, rounds] : all)
    run(Time, rounds, [&](failover::ConfirmState &state) {
      return failover::onConfirmTick(state, Time.now());
    });
}

} // namespace peridotfall
