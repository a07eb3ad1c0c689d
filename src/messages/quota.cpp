#include "messages/quota.h"

#include "messages/quota.pb.h"
#include "messages/time.h"

#include <cmath>

namespace peridotfall::messages {

namespace {

Error malformed() {
  return {ErrorCode::Invalid, "quota message: malformed or value out of range"};
}

using List = google::protobuf::RepeatedField<std::uint32_t>;

List toProto(const std::vector<std::uint32_t> &in) {
  return {in.begin(), in.end()};
}

bool fromProto(const List &in, std::vector<std::uint32_t> &out) {
  out.assign(in.begin(), in.end());
  return out.size() <= MaxQuotaListLength;
}

void toProto(quota::Challenge *out, const Challenge &in) {
  out->set_incarnation(in.Incarnation);
  out->set_issued_us(in.IssuedMicros);
}

Challenge fromProto(const quota::Challenge &in) {
  return {in.incarnation(), in.issued_us()};
}

void toProto(quota::Delegation *out, const Delegation &in) {
  out->set_vm(in.Vm.Value);
  out->set_incarnation(in.Incarnation);
  out->set_daemons(in.Daemons);
  if (in.LastChallenge)
    toProto(out->mutable_challenge(), *in.LastChallenge);
  *out->mutable_partitions() = toProto(in.Partitions);
  *out->mutable_released() = toProto(in.Released);
}

bool fromProto(const quota::Delegation &in, Delegation &out) {
  out.Vm = VmName(in.vm());
  out.Incarnation = in.incarnation();
  out.Daemons = in.daemons();
  if (in.has_challenge())
    out.LastChallenge = fromProto(in.challenge());
  return fromProto(in.partitions(), out.Partitions) &&
         fromProto(in.released(), out.Released);
}

bool isRate(double it) { return std::isfinite(it) && it >= 0; }

} // namespace

std::string encode(const UseReport &it) {
  quota::UseReport out;
  for (const auto &use : it.Uses) {
    auto *next = out.add_uses();
    next->set_account(use.Account.Value);
    next->set_run(use.Run);
    next->set_asked(use.Asked);
    *next->mutable_asked_by_priority() = toProto(use.AskedByPriority);
  }
  if (it.Delegated)
    toProto(out.mutable_delegation(), *it.Delegated);
  out.set_version(it.Version);
  return out.SerializeAsString();
}

std::string encode(const UseAnswer &it) {
  quota::UseAnswer out;
  for (const auto &grant : it.Grants) {
    auto *next = out.add_grants();
    next->set_granted(grant.Granted);
    next->set_mode(static_cast<std::uint32_t>(grant.Mode));
    next->set_wait_us(toMicros(grant.Wait));
    *next->mutable_granted_by_priority() = toProto(grant.GrantedByPriority);
    next->set_asked_rate(grant.AskedRate);
    next->set_granted_rate(grant.GrantedRate);
    next->set_uncounted(grant.Uncounted);
  }
  if (it.Next)
    toProto(out.mutable_challenge(), *it.Next);
  *out.mutable_released() = toProto(it.Released);
  out.set_unconfigured(it.Unconfigured);
  return out.SerializeAsString();
}

Result<UseReport> decodeUseReport(const std::string &bytes) {
  quota::UseReport in;
  if (!in.ParseFromString(bytes))
    return malformed();
  UseReport out;
  for (const auto &it : in.uses()) {
    auto &next = out.Uses.emplace_back(
        AccountUse{AccountName(it.account()), it.run(), it.asked()});
    if (!fromProto(it.asked_by_priority(), next.AskedByPriority))
      return malformed();
  }
  if (in.has_delegation() &&
      !fromProto(in.delegation(), out.Delegated.emplace()))
    return malformed();
  out.Version = in.version();
  return out;
}

Result<UseAnswer> decodeUseAnswer(const std::string &bytes) {
  quota::UseAnswer in;
  if (!in.ParseFromString(bytes))
    return malformed();
  UseAnswer out;
  for (const auto &it : in.grants()) {
    auto &next = out.Grants.emplace_back(
        AccountGrant{it.granted(), static_cast<QuotaMode>(it.mode()),
                     fromMicros(it.wait_us())});
    next.AskedRate = it.asked_rate();
    next.GrantedRate = it.granted_rate();
    next.Uncounted = it.uncounted();
    if (next.Mode > QuotaMode::Ask || !isRate(next.AskedRate) ||
        !isRate(next.GrantedRate) ||
        !fromProto(it.granted_by_priority(), next.GrantedByPriority))
      return malformed();
  }
  if (in.has_challenge())
    out.Next = fromProto(in.challenge());
  if (!fromProto(in.released(), out.Released))
    return malformed();
  out.Unconfigured = in.unconfigured();
  return out;
}

} // namespace peridotfall::messages
