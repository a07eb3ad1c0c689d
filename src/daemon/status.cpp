#include "daemon/status.h"

#include "base/document.h"
#include "http/status.h"

namespace peridotfall {

namespace {

Json writeMembers(Fleet &fleet) {
  return fleet.withMembership([](Membership &view) {
    Json out = Json::array();
    for (const auto &it : view.known())
      out.push_back({{"vm", it.Vm.Value},
                     {"domain", it.Domain.Value},
                     {"region", it.Region.Value},
                     {"address", it.InnerAddress},
                     {"incarnation", it.Incarnation},
                     {"leaving", it.Leaving},
                     {"servesTarget", it.ServesTarget},
                     {"suspected", view.isSuspected(it.Vm)}});
    return out;
  });
}

Json writePosition(const Position &it) {
  return {{"term", it.InTerm}, {"index", it.Index}};
}

Json writeTarget(const StatusSource &source, const TargetConfig &target,
                 const GroupView &view) {
  auto owners = source.Peers.membersByRank(*source.Config, target);
  Json out = {{"name", target.Name.Value},
              {"domain", target.Domain.Value},
              {"owner", owners.empty() ? "" : owners.front().Vm.Value},
              {"drained", isDrained(*source.Config, target.Name)}};
  auto it = view.Targets.find(target.Name);
  if (it == view.Targets.end())
    return out;
  const auto &seen = it->second;
  out["reachable"] = seen.Reachable;
  out["primary"] = seen.LastStatus.IsPrimary;
  out["leaving"] = seen.LastStatus.Leaving;
  out["term"] = seen.LastStatus.CurrentTerm;
  out["last"] = writePosition(seen.LastStatus.Last);
  out["applied"] = writePosition(seen.LastStatus.Applied);
  out["seenMsAgo"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                         source.Now - seen.SeenAt)
                         .count();
  auto primary = view.Targets.find(view.Primary);
  bool comparable = primary != view.Targets.end() &&
                    primary->second.LastStatus.Last.InTerm ==
                        seen.LastStatus.Applied.InTerm &&
                    primary->second.LastStatus.Last >= seen.LastStatus.Applied;
  if (comparable)
    out["lag"] =
        primary->second.LastStatus.Last.Index - seen.LastStatus.Applied.Index;
  return out;
}

Json writeDatabases(const StatusSource &it) {
  Json out = Json::array();
  if (!it.Config)
    return out;
  for (const auto &database : it.Config->Databases) {
    auto view = it.Views.get(database.Name);
    Json targets = Json::array();
    for (const auto &target : database.Targets)
      targets.push_back(writeTarget(it, target, view));
    out.push_back({{"name", database.Name.Value},
                   {"term", view.InTerm},
                   {"primary", view.Primary.Value},
                   {"targets", targets}});
  }
  return out;
}

Json writeCalls(const platform::CallCounts &it) {
  return {{"get", it.Gets.load()},        {"put", it.Puts.load()},
          {"watch", it.Watches.load()},   {"list", it.Lists.load()},
          {"refused", it.Refused.load()}, {"failed", it.Failed.load()}};
}

} // namespace

http::Response statusResponse(const StatusSource &it) {
  const auto &self = it.Peers.self();
  Json out = {{"vm", self.Vm.Value},
              {"domain", self.Domain.Value},
              {"region", self.Region.Value},
              {"incarnation", self.Incarnation},
              {"draining", it.Draining},
              {"revision", it.Config ? it.Config->Revision : 0},
              {"configuration", it.Config ? it.Config->Id : ""},
              {"appliedBy", it.Config ? it.Config->AppliedBy : ""},
              {"members", writeMembers(it.Peers)},
              {"databases", writeDatabases(it)},
              {"platformCalls", writeCalls(it.Calls)}};
  return {http::StatusOk, {{"content-type", "application/json"}}, out.dump()};
}

} // namespace peridotfall
