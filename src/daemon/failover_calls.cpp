// Performs the actions of the failover state machine.

#include "daemon/failover_calls.h"

#include "daemon/failover_driver.h"
#include "messages/group_view.h"
#include "telemetry/events.h"

#include <utility>

namespace peridotfall {

namespace {

using telemetry::Event;
using telemetry::field;

/// Timeout of a call for another owner's view; a later view would be outdated.
constexpr std::chrono::milliseconds PeerTimeout{300};
/// Two, since one lost probe must not abort the reads running on a replica.
constexpr unsigned MissedProbesToDisconnect = 2;

const std::string &addressOf(const DatabaseConfig &database,
                             const TargetName &target) {
  static const std::string None;
  const auto *it = findTarget(database, target);
  return it ? it->Address : None;
}

} // namespace

failover::TargetReport toReport(const target::Status &it) {
  return {it.CurrentTerm, it.IsPrimary, it.Last, {}, it.Leaving};
}

failover::TargetReport toReport(const target::Status &it,
                                const DatabaseConfig &database) {
  auto out = toReport(it);
  for (const auto &target : database.Targets)
    if (!it.Following.empty() && target.Address == it.Following)
      out.Following = target.Name;
  return out;
}

/// Updates the group view that the router uses.
void FailoverDriver::publishStatus(const GroupPtr &group,
                                   const TargetName &target,
                                   const Result<target::Status> &status) {
  TargetView view;
  view.Reachable = status.has_value();
  view.SeenAt = Time.now();
  if (status)
    view.LastStatus = status.value();
  Views.updateStatus(group->Config.Name, target, view);
}

void FailoverDriver::perform(const GroupPtr &group, const failover::Probe &it) {
  auto done = [self = shared_from_this(), group,
               it](const Result<target::Status> &status) {
    self->publishStatus(group, it.Target, status);
    auto now = self->Time.now();
    failover::TargetReport report;
    if (status)
      report = toReport(status.value(), group->Config);
    // A target drained by the operators counts as leaving, as if it reported
    // so.
    if (auto config = self->Config.get())
      report.Leaving |= isDrained(*config, it.Target);
    self->run(group, [&](failover::GroupState &state) {
      auto &missed = group->MissedProbes[it.Target];
      missed = status ? 0 : missed + 1;
      if (missed == 1)
        telemetry::log(Event::TargetLost,
                       {field("database", state.Database.Value),
                        field("target", it.Target.Value),
                        field("error", status.error().Message)});
      return status ? failover::onStatus(state, it.Target, report, now)
                    : failover::onUnreachable(state, it.Target, now);
    });
    // Repeated with each failed probe: requests of entry daemons with an older
    // view open new connections.
    if (!status)
      self->disconnectUnreachable(group, MissedProbesToDisconnect);
  };
  Apis.get(addressOf(group->Config, it.Target))->Calls.GetStatus(done);
}

void FailoverDriver::perform(const GroupPtr &group,
                             const failover::QueryPeer &it) {
  auto peer = Peers.find(it.Vm);
  if (!peer)
    return;
  http::Request request;
  request.Method = "POST";
  request.Path = messages::GroupViewPath;
  request.Body = messages::encode(
      messages::GroupViewRequest{group->Config.Name, it.Version});
  auto done = [self = shared_from_this(), group,
               it](const http::CallResult &result) {
    if (!result)
      return;
    auto answer = messages::decodeGroupViewAnswer(result.value().Body);
    // An empty view comes from a daemon that does not watch the group. It must
    // not count as a report that the primary is unreachable.
    if (!answer || answer.value().Observations.empty() ||
        answer.value().Vm != it.Vm)
      return;
    auto now = self->Time.now();
    if (const auto &object = answer.value().Object)
      self->run(group, [&](failover::GroupState &state) {
        return failover::onPeerObject(state, *object, now);
      });
    self->run(group, [&](failover::GroupState &state) {
      return failover::onPeerView(state, it.Vm,
                                  std::move(answer.value().Observations), now);
    });
  };
  Peers.channel(peer->InnerAddress)
      ->call(std::move(request), PeerTimeout, std::move(done));
}

void FailoverDriver::perform(const GroupPtr &group, const failover::Fence &it) {
  auto done = [self = shared_from_this(), group,
               it](const Result<target::Status> &status) {
    self->run(group, [&](failover::GroupState &state) {
      return failover::onFenced(state, it.Target, it.InTerm, toOutcome(status),
                                status ? toReport(status.value(), group->Config)
                                       : failover::TargetReport{},
                                self->Time.now());
    });
  };
  Apis.get(addressOf(group->Config, it.Target))->Calls.Fence(it.InTerm, done);
}

void FailoverDriver::perform(const GroupPtr &group,
                             const failover::Promote &it) {
  auto done = [self = shared_from_this(), group,
               it](const Result<target::Status> &status) {
    if (status)
      self->publishStatus(group, it.Target, status);
    self->run(group, [&](failover::GroupState &state) {
      return failover::onPromoted(
          state, it.Target, it.InTerm, toOutcome(status),
          status ? toReport(status.value(), group->Config)
                 : failover::TargetReport{},
          self->Time.now());
    });
  };
  Apis.get(addressOf(group->Config, it.Target))->Calls.Promote(it.InTerm, done);
}

void FailoverDriver::perform(const GroupPtr &group,
                             const failover::Follow &it) {
  auto done = [self = shared_from_this(), group,
               it](const Result<target::Status> &status) {
    if (status)
      self->run(group, [&](failover::GroupState &state) {
        return failover::onStatus(state, it.Target,
                                  toReport(status.value(), group->Config),
                                  self->Time.now());
      });
  };
  Apis.get(addressOf(group->Config, it.Target))
      ->Calls.Follow(it.InTerm, addressOf(group->Config, it.Primary), done);
}

void FailoverDriver::perform(const GroupPtr &group,
                             const failover::GetObject & /*it*/) {
  Platform.Get(
      platform::groupKey(group->Config.Name),
      [self = shared_from_this(), group](const Result<platform::Object> &it) {
        self->handleObject(group, it);
      });
}

void FailoverDriver::handleObject(const GroupPtr &group,
                                  const Result<platform::Object> &it) {
  std::optional<failover::GroupObject> object;
  bool absent = !it && it.error().Code == ErrorCode::NotFound;
  bool known = absent;
  if (it) {
    auto parsed = failover::parseGroupObject(it.value().Value);
    known = parsed.has_value();
    // An unreadable object is left as it is. It may contain a term that was
    // already given to a replica, and an object written in its place could give
    // the same term to another.
    if (parsed)
      object = std::move(parsed.value());
    else
      telemetry::log(
          Event::GroupObjectUnreadable,
          {field("database", group->Config.Name.Value),
           field("finding", describe(parsed.error().front(), "platform"))});
  }
  run(group, [&](failover::GroupState &state) {
    return known ? failover::onObject(state, object,
                                      it ? it.value().Version : 0, Time.now())
                 : failover::onObjectUnavailable(state, Time.now());
  });
}

void FailoverDriver::perform(const GroupPtr &group,
                             const failover::PutObject &it) {
  Platform.Put(platform::groupKey(group->Config.Name), it.Expected,
               failover::writeGroupObject(it.Value),
               [self = shared_from_this(), group,
                id = it.Value.Id](const Result<platform::Object> &result) {
                 self->run(group, [&](failover::GroupState &state) {
                   return failover::onPutDone(state, id, toOutcome(result),
                                              self->Time.now());
                 });
               });
}

void FailoverDriver::perform(const GroupPtr &group,
                             const failover::HoldWrites &it) {
  Views.holdWrites(group->Config.Name, it.Until);
  if (it.Until > Time.now())
    telemetry::log(Event::WritesHeld,
                   {field("database", group->Config.Name.Value)});
}

void FailoverDriver::perform(const GroupPtr &group,
                             const failover::PrimaryChanged &it) {
  Views.updatePrimary(group->Config.Name, it.InTerm, it.Primary);
  telemetry::log(Event::PrimaryChanged,
                 {field("database", group->Config.Name.Value),
                  field("primary", it.Primary.Value),
                  field("term", it.InTerm)});
  disconnectUnreachable(group, 1);
}

/// If the old primary freezes with statements in flight, their callers would
/// wait until their deadlines, long after the new primary serves. Its answers
/// can no longer be confirmed, so its connections are closed and each statement
/// is answered as lost at once; with a key it then runs on the new primary. A
/// target that still answers probes keeps its connections: its answer "fenced"
/// tells the caller more than a lost answer.
void FailoverDriver::disconnectUnreachable(const GroupPtr &group,
                                           unsigned missed) {
  std::vector<TargetName> lost;
  {
    std::lock_guard guard(group->Lock);
    for (const auto &[name, n] : group->MissedProbes)
      if (n >= missed && name != group->State.Primary)
        lost.push_back(name);
  }
  for (const auto &name : lost) {
    auto api = Apis.get(addressOf(group->Config, name));
    if (api->Disconnect)
      api->Disconnect();
  }
}

void FailoverDriver::perform(const GroupPtr &group,
                             const failover::CampaignBegun &it) {
  telemetry::log(Event::FailoverBegun,
                 {field("database", group->Config.Name.Value),
                  field("nominee", it.Candidate.Nominee.Value),
                  field("term", it.Candidate.InTerm)});
}

void FailoverDriver::perform(const GroupPtr &group,
                             const failover::CampaignFailed &it) {
  telemetry::log(Event::FailoverFailed,
                 {field("database", group->Config.Name.Value),
                  field("nominee", it.Candidate.Nominee.Value),
                  field("term", it.Candidate.InTerm)});
}

void FailoverDriver::perform(const GroupPtr &group,
                             const failover::TermsExhausted & /*it*/) {
  telemetry::log(Event::TermsExhausted,
                 {field("database", group->Config.Name.Value)});
}

void FailoverDriver::perform(const GroupPtr &group,
                             const failover::HandoverFailed &it) {
  telemetry::log(Event::HandoverFailed,
                 {field("database", group->Config.Name.Value),
                  field("primary", it.From.Value),
                  field("replica", it.To.Value),
                  field("why", failover::toString(it.Why))});
}

} // namespace peridotfall
