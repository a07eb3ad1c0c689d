#include "messages/group_view.h"

#include <algorithm>
#include <chrono>

namespace peridotfall::messages {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

/// One year, more than any answer's age. Larger values could overflow when
/// added to a time point.
constexpr std::uint64_t MaxAgeMicros = 365ULL * 86'400 * 1'000'000;

Error malformed() {
  return {ErrorCode::Invalid, "group view: malformed message"};
}

} // namespace

std::string encode(const GroupViewRequest &it) {
  inner::GroupViewRequest out;
  out.set_database(it.Database.Value);
  out.set_object_version(it.ObjectVersion);
  return out.SerializeAsString();
}

std::string encode(const GroupViewAnswer &it) {
  inner::GroupViewAnswer out;
  out.set_database(it.Database.Value);
  out.set_vm(it.Vm.Value);
  for (const auto &[name, observation] : it.Observations) {
    auto *target = out.add_targets();
    target->set_target(name.Value);
    target->set_reachable(observation.Reachable);
    target->set_primary(observation.Report.IsPrimary);
    target->set_term(observation.Report.CurrentTerm);
    target->mutable_last()->set_term(observation.Report.Last.InTerm);
    target->mutable_last()->set_index(observation.Report.Last.Index);
    auto age = duration_cast<microseconds>(observation.Age).count();
    target->set_age_us(
        static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0)));
  }
  if (it.Object) {
    out.set_object(failover::writeGroupObject(it.Object->Value));
    out.set_object_version(it.Object->Version);
  }
  return out.SerializeAsString();
}

Result<GroupViewRequest> decodeGroupViewRequest(const std::string &bytes) {
  inner::GroupViewRequest in;
  if (!in.ParseFromString(bytes))
    return malformed();
  return GroupViewRequest{DatabaseName(in.database()), in.object_version()};
}

Result<GroupViewAnswer> decodeGroupViewAnswer(const std::string &bytes) {
  inner::GroupViewAnswer in;
  if (!in.ParseFromString(bytes))
    return malformed();
  GroupViewAnswer it;
  it.Database = DatabaseName(in.database());
  it.Vm = VmName(in.vm());
  for (const auto &target : in.targets()) {
    auto &observation = it.Observations[TargetName(target.target())];
    observation.Reachable = target.reachable();
    observation.Report.IsPrimary = target.primary();
    observation.Report.CurrentTerm = target.term();
    observation.Report.Last = {target.last().term(), target.last().index()};
    observation.Age = microseconds(std::min(target.age_us(), MaxAgeMicros));
  }
  if (!in.object().empty()) {
    auto object = failover::parseGroupObject(in.object());
    if (!object)
      return malformed();
    it.Object = {in.object_version(), std::move(object.value())};
  }
  return it;
}

} // namespace peridotfall::messages
