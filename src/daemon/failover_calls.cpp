// The actions of a change of primary, performed.

#include "daemon/failover_calls.h"

#include "daemon/failover_driver.h"
#include "messages/group_view.h"
#include "telemetry/events.h"

#include <utility>

namespace peridotfall {

namespace {

using telemetry::Event;
using telemetry::field;

/// Longest wait for another owner's view; a later one would be old.
constexpr std::chrono::milliseconds PeerLimit{300};
/// One lost probe must not cost a replica the reads that run on it.
constexpr unsigned MissesToDisconnect = 2;

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

/// Passes a status on to the router's view.
void FailoverDriver::took(const GroupPtr &group, const TargetName &target,
                          const Result<target::Status> &status) {
  TargetView view;
  view.Reachable = status.has_value();
  view.SeenAt = Time.now();
  if (status)
    view.Last = status.value();
  Views.learnStatus(group->Config.Name, target, view);
}

void FailoverDriver::perform(const GroupPtr &group, const failover::Probe &it) {
  auto done = [self = shared_from_this(), group,
               it](const Result<target::Status> &status) {
    self->took(group, it.Target, status);
    auto now = self->Time.now();
    failover::TargetReport report;
    if (status)
      report = toReport(status.value(), group->Config);
    // Drained by the operators, a target leaves as if it said so itself.
    if (auto config = self->Config.get())
      report.Leaving |= isDrained(*config, it.Target);
    self->run(group, [&](failover::GroupState &state) {
      auto &missed = group->Missed[it.Target];
      missed = status ? 0 : missed + 1;
      if (missed == 1)
        telemetry::log(Event::TargetLost,
                       {field("database", state.Database.Value),
                        field("target", it.Target.Value),
                        field("error", status.error().Message)});
      return status ? failover::onStatus(state, it.Target, report, now)
                    : failover::onUnreachable(state, it.Target, now);
    });
    // Again and again: an entry that has not heard yet opens new ones.
    if (!status)
      self->disconnectLost(group, MissesToDisconnect);
  };
  Apis.get(addressOf(group->Config, it.Target))->Calls.GetStatus(done);
}

void FailoverDriver::perform(const GroupPtr &group,
                             const failover::AskPeer &it) {
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
    // An empty one comes from a daemon that does not watch the group; it must
    // not count as one that misses the primary.
    if (!answer || answer.value().Seen.empty() || answer.value().Vm != it.Vm)
      return;
    auto now = self->Time.now();
    if (const auto &object = answer.value().Object)
      self->run(group, [&](failover::GroupState &state) {
        return failover::onPeerObject(state, *object, now);
      });
    self->run(group, [&](failover::GroupState &state) {
      return failover::onPeerView(state, it.Vm, std::move(answer.value().Seen),
                                  now);
    });
  };
  Peers.channel(peer->InnerAddress)
      ->call(std::move(request), PeerLimit, std::move(done));
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
      self->took(group, it.Target, status);
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
        self->readObject(group, it);
      });
}

void FailoverDriver::readObject(const GroupPtr &group,
                                const Result<platform::Object> &it) {
  std::optional<failover::GroupObject> object;
  bool absent = !it && it.error().Code == ErrorCode::NotFound;
  bool known = absent;
  if (it) {
    auto parsed = failover::parseGroupObject(it.value().Value);
    known = parsed.has_value();
    // An object that cannot be read stays as it is: whoever replaced it could
    // give a term that it gives away to another replica.
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
  Views.learnPrimary(group->Config.Name, it.InTerm, it.Primary);
  telemetry::log(Event::PrimaryChanged,
                 {field("database", group->Config.Name.Value),
                  field("primary", it.Primary.Value),
                  field("term", it.InTerm)});
  disconnectLost(group, 1);
}

/// Failure: the old primary froze with statements in flight. Symptom: their
/// callers wait for their whole deadline, long after the new primary serves.
/// Nothing it says can be confirmed any more, so its connections are closed
/// and each statement is answered as lost at once; with a key it then runs on
/// the new primary. One that still answers probes keeps its connections: its
/// own "fenced" says more than a lost answer.
void FailoverDriver::disconnectLost(const GroupPtr &group, unsigned missed) {
  std::vector<TargetName> lost;
  {
    std::lock_guard guard(group->Lock);
    for (const auto &[name, n] : group->Missed)
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
