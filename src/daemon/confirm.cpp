#include "daemon/confirm.h"

#include "daemon/failover_calls.h"

#include <optional>
#include <utility>

namespace peridotfall {

using failover::TargetReport;

/// The rounds of one primary.
struct Confirmer::Line {
  std::mutex Lock;
  failover::ConfirmState State;
  DatabaseConfig Database;
  TargetPtr Primary;
  std::vector<TargetPtr> Replicas;
  std::map<TicketHandle, OnConfirmed> Waiting;
};

void Confirmer::run(const Clock &clock, const LinePtr &line, const Step &step) {
  failover::ConfirmActions actions;
  std::vector<std::pair<OnConfirmed, bool>> answers;
  {
    std::lock_guard guard(line->Lock);
    actions = step(line->State);
    for (const auto &it : actions)
      if (const auto *done = std::get_if<failover::Confirmed>(&it)) {
        auto waiting = line->Waiting.extract(done->Ticket);
        answers.emplace_back(std::move(waiting.mapped()), done->Safe);
      }
  }
  for (const auto &it : actions)
    if (const auto *replicas = std::get_if<failover::AskReplicas>(&it))
      ask(clock, line, *replicas);
    else if (const auto *primary = std::get_if<failover::AskPrimary>(&it))
      ask(clock, line, *primary);
  for (const auto &[done, safe] : answers)
    done(safe);
}

void Confirmer::ask(const Clock &clock, const LinePtr &line,
                    const failover::AskReplicas &it) {
  auto done = [&clock, line, it](const Result<target::Status> &status) {
    std::optional<TargetReport> report;
    if (status)
      report = toReport(status.value());
    run(clock, line, [&](failover::ConfirmState &state) {
      return failover::onReplica(state, it.Round, report, clock.now());
    });
  };
  std::vector<TargetPtr> replicas;
  {
    std::lock_guard guard(line->Lock);
    replicas = line->Replicas;
  }
  for (const auto &replica : replicas)
    replica->Calls.AwaitPosition(it.At.InTerm, it.At, it.Wait, done);
}

void Confirmer::ask(const Clock &clock, const LinePtr &line,
                    const failover::AskPrimary &it) {
  auto done = [&clock, line, it](const Result<target::Status> &status) {
    std::optional<TargetReport> report;
    if (status)
      report = toReport(status.value());
    run(clock, line, [&](failover::ConfirmState &state) {
      return failover::onPrimary(state, it.Round, report, clock.now());
    });
  };
  TargetPtr primary;
  {
    std::lock_guard guard(line->Lock);
    primary = line->Primary;
  }
  primary->Calls.GetStatus(done);
}

void Confirmer::confirmPosition(const DatabaseConfig &database,
                                const TargetName &primary, Position at,
                                std::chrono::milliseconds limit,
                                OnConfirmed done) {
  LinePtr line;
  {
    std::lock_guard guard(Lock);
    auto &it = Lines[primary];
    if (!it)
      it = std::make_shared<Line>();
    line = it;
  }
  bool possible = false;
  {
    std::lock_guard guard(line->Lock);
    if (line->Database != database) {
      line->Database = database;
      line->Primary.reset();
      line->Replicas.clear();
      for (const auto &it : database.Targets) {
        auto api = Apis.get(it.Address);
        if (it.Name == primary)
          line->Primary = std::move(api);
        else
          line->Replicas.push_back(std::move(api));
      }
      line->State.Replicas = line->Replicas.size();
    }
    possible = line->Primary && !line->Replicas.empty();
  }
  if (!possible) {
    done(false);
    return;
  }
  run(Time, line, [&](failover::ConfirmState &state) {
    TicketHandle ticket;
    auto now = Time.now();
    auto actions = failover::onCommitted(state, at, now + limit, now, ticket);
    line->Waiting[ticket] = std::move(done);
    return actions;
  });
}

void Confirmer::giveUpLate() {
  std::map<TargetName, LinePtr> lines;
  {
    std::lock_guard guard(Lock);
    lines = Lines;
  }
  for (const auto &[primary, line] : lines)
    run(Time, line, [&](failover::ConfirmState &state) {
      return failover::onConfirmTick(state, Time.now());
    });
}

} // namespace peridotfall
