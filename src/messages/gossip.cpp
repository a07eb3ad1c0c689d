// Encoding of membership and configuration messages.

#include "messages/inner.h"

namespace peridotfall::messages {

namespace {

Error malformed() { return {ErrorCode::Invalid, "inner message: malformed"}; }

void toProto(inner::PeerState *out, const Member &it) {
  out->set_vm(it.Vm.Value);
  out->set_domain(it.Domain.Value);
  out->set_region(it.Region.Value);
  out->set_address(it.InnerAddress);
  out->set_incarnation(it.Incarnation);
  out->set_leaving(it.Leaving);
  out->set_serves_target(it.ServesTarget);
  out->set_link_mbps(it.LinkMbps);
}

Member fromProto(const inner::PeerState &in) {
  Member it;
  it.Vm = VmName(in.vm());
  it.Domain = DomainName(in.domain());
  it.Region = RegionName(in.region());
  it.InnerAddress = in.address();
  it.Incarnation = in.incarnation();
  it.Leaving = in.leaving();
  it.ServesTarget = in.serves_target();
  it.LinkMbps = in.link_mbps();
  return it;
}

void toProto(inner::MemberState *out, const MemberRecord &it) {
  toProto(out->mutable_member(), it.Info);
  out->set_version(it.Version);
  for (const auto &vm : it.Suspecting)
    out->add_suspecting(vm.Value);
}

MemberRecord fromProto(const inner::MemberState &in) {
  MemberRecord it;
  it.Info = fromProto(in.member());
  it.Version = in.version();
  for (const auto &vm : in.suspecting())
    it.Suspecting.insert(VmName(vm));
  return it;
}

} // namespace

std::string encode(const PeerInfo &it) {
  inner::PeerState out;
  toProto(&out, it.Self);
  out.set_revision(it.Revision);
  return out.SerializeAsString();
}

Result<PeerInfo> decodePeerInfo(const std::string &bytes) {
  inner::PeerState in;
  if (!in.ParseFromString(bytes))
    return malformed();
  return PeerInfo{fromProto(in), in.revision()};
}

std::string encode(const GossipMessage &it) {
  inner::News out;
  toProto(out.mutable_from(), it.From);
  out.set_revision(it.Revision);
  out.set_list_stamp(it.ListStamp);
  out.set_list_digest(it.ListDigest);
  for (const auto &record : it.Members)
    toProto(out.add_members(), record);
  out.set_tree_id(it.TreeId);
  out.set_tree_root(it.ForwardTree.Root.Value);
  out.set_domain_only(it.ForwardTree.DomainOnly);
  out.set_holder(it.FetchAddress);
  return out.SerializeAsString();
}

Result<GossipMessage> decodeGossip(const std::string &bytes) {
  inner::News in;
  if (!in.ParseFromString(bytes) || in.from().member().vm().empty())
    return malformed();
  GossipMessage it;
  it.From = fromProto(in.from());
  it.Revision = in.revision();
  it.ListStamp = in.list_stamp();
  it.ListDigest = in.list_digest();
  for (const auto &record : in.members())
    if (!record.member().vm().empty())
      it.Members.push_back(fromProto(record));
  it.TreeId = in.tree_id();
  it.ForwardTree = {VmName(in.tree_root()), in.domain_only()};
  it.FetchAddress = in.holder();
  return it;
}

std::string encode(const VmList &it) {
  inner::VmList out;
  out.set_stamp(it.Stamp);
  for (const auto &member : it.Members)
    toProto(out.add_members(), member);
  return out.SerializeAsString();
}

Result<VmList> decodeVmList(const std::string &bytes) {
  inner::VmList in;
  if (!in.ParseFromString(bytes))
    return malformed();
  VmList it;
  it.Stamp = in.stamp();
  for (const auto &member : in.members()) {
    if (member.vm().empty())
      return malformed();
    it.Members.push_back(fromProto(member));
  }
  return it;
}

std::string encode(const Configuration &it) {
  inner::ConfigurationText out;
  out.set_revision(it.Revision);
  out.set_json(writeConfiguration(it));
  return out.SerializeAsString();
}

Result<Configuration> decodeConfiguration(const std::string &bytes) {
  inner::ConfigurationText in;
  if (!in.ParseFromString(bytes))
    return malformed();
  auto parsed = parseConfiguration(in.json());
  if (!parsed)
    return Error{ErrorCode::Invalid,
                 describe(parsed.error().front(), "configuration")};
  return std::move(parsed.value());
}

} // namespace peridotfall::messages
