#include "messages/copy.h"

#include "messages/copy.pb.h"
#include "messages/time.h"

namespace peridotfall::messages {

namespace {

Error malformed() {
  return {ErrorCode::Invalid, "inner message: not of this protocol"};
}

void put(const proxy::StoredObject &it, copy::StoredObject &out) {
  out.set_name(it.Name);
  out.set_spec(it.Spec);
  out.set_revision(it.Revision);
  out.set_deleted(it.Deleted);
}

proxy::StoredObject take(const copy::StoredObject &in) {
  return {in.name(), in.spec(), in.revision(), in.deleted()};
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
  for (const auto &[name, object] : it.Objects)
    put(object, *out.add_objects());
  return out.SerializeAsString();
}

Result<CopyAnswer> decodeCopyAnswer(const std::string &bytes) {
  copy::CopyAnswer in;
  if (!in.ParseFromString(bytes))
    return malformed();
  CopyAnswer out;
  out.Revision = in.revision();
  for (const auto &it : in.objects())
    out.Objects[it.name()] = take(it);
  return out;
}

std::string encode(const WatchRequest &it) {
  copy::WatchRequest out;
  out.set_kind(it.Kind);
  out.set_newer_than(it.NewerThan);
  out.set_wait_us(toMicros(it.Wait));
  return out.SerializeAsString();
}

Result<WatchRequest> decodeWatchRequest(const std::string &bytes) {
  copy::WatchRequest in;
  if (!in.ParseFromString(bytes))
    return malformed();
  return WatchRequest{in.kind(), in.newer_than(), fromMicros(in.wait_us())};
}

std::string encode(const WatchAnswer &it) {
  copy::WatchAnswer out;
  out.set_outcome(static_cast<std::uint32_t>(it.Changes.Outcome));
  out.set_revision(it.Changes.Revision);
  for (const auto &object : it.Changes.Objects)
    put(object, *out.add_objects());
  out.set_age_us(toMicros(it.Age));
  return out.SerializeAsString();
}

Result<WatchAnswer> decodeWatchAnswer(const std::string &bytes) {
  copy::WatchAnswer in;
  constexpr auto Most =
      static_cast<std::uint32_t>(proxy::ReadOutcome::Unavailable);
  if (!in.ParseFromString(bytes) || in.outcome() > Most)
    return malformed();
  WatchAnswer out;
  out.Changes.Outcome = static_cast<proxy::ReadOutcome>(in.outcome());
  out.Changes.Revision = in.revision();
  for (const auto &it : in.objects())
    out.Changes.Objects.push_back(take(it));
  out.Age = fromMicros(in.age_us());
  return out;
}

} // namespace peridotfall::messages
