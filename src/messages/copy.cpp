#include "messages/copy.h"

#include "messages/copy.pb.h"

namespace peridotfall::messages {

namespace {

Error malformed() {
  return {ErrorCode::Invalid, "inner message: not of this protocol"};
}

} // namespace

std::string encode(const CopyRequest &it) {
  copy::CopyRequest out;
  out.set_kind(it.Kind);
  out.set_newer_than(it.NewerThan);
  return out.SerializeAsString();
}

Result<CopyRequest> decodeCopyRequest(const std::string &bytes) {
  copy::CopyRequest in;
  if (!in.ParseFromString(bytes))
    return malformed();
  return CopyRequest{in.kind(), in.newer_than()};
}

std::string encode(const CopyAnswer &it) {
  copy::CopyAnswer out;
  out.set_revision(it.Revision);
  for (const auto &[name, object] : it.Objects) {
    auto *next = out.add_objects();
    next->set_name(name);
    next->set_spec(object.Spec);
    next->set_revision(object.Revision);
  }
  return out.SerializeAsString();
}

Result<CopyAnswer> decodeCopyAnswer(const std::string &bytes) {
  copy::CopyAnswer in;
  if (!in.ParseFromString(bytes))
    return malformed();
  CopyAnswer out;
  out.Revision = in.revision();
  for (const auto &it : in.objects())
    out.Objects[it.name()] = {it.name(), it.spec(), it.revision(), false};
  return out;
}

} // namespace peridotfall::messages
