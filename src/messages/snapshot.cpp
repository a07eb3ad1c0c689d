#include "messages/snapshot.h"

#include "messages/compression.h"
#include "messages/copy.pb.h"
#include "messages/time.h"

namespace peridotfall::messages {

namespace {

Error malformed() {
  return {ErrorCode::Invalid, "inner message: malformed or value out of range"};
}

/// Limit of an object's spec after decompression.
constexpr std::size_t MaxSpecBytes = 4 << 20;

void toProto(const proxy::StoredObject &it, const PackSpec &pack,
             copy::StoredObject &out) {
  out.set_name(it.Name);
  auto packed = pack ? pack(it) : std::nullopt;
  if (packed) {
    out.set_packed(std::move(packed->Frame));
    out.set_packed_against(packed->BaseRevision);
  } else
    out.set_spec(it.Spec);
  out.set_revision(it.Revision);
  out.set_deleted(it.Deleted);
}

Result<std::string> readSpec(const copy::StoredObject &in,
                             const FindCachedSpec &findCached) {
  if (in.packed().empty())
    return in.spec();
  if (in.packed_against() == 0)
    return decompress(in.packed(), "", MaxSpecBytes);
  const auto *base =
      findCached ? findCached({in.name(), in.packed_against()}) : nullptr;
  if (!base)
    return Error{ErrorCode::NotFound,
                 in.name() + ": the base revision is no longer cached"};
  return decompress(in.packed(), *base, MaxSpecBytes);
}

Result<proxy::StoredObject> fromProto(const copy::StoredObject &in,
                                      const FindCachedSpec &findCached) {
  auto spec = readSpec(in, findCached);
  if (!spec)
    return spec.error();
  return proxy::StoredObject{in.name(), std::move(spec.value()), in.revision(),
                             in.deleted()};
}

template <class Request>
void writeCached(const std::vector<CachedObjectId> &cached, Request &out) {
  for (const auto &it : cached) {
    auto *object = out.add_held();
    object->set_name(it.Name);
    object->set_revision(it.Revision);
  }
}

template <class Request>
std::vector<CachedObjectId> readCached(const Request &in) {
  std::vector<CachedObjectId> out;
  for (const auto &it : in.held())
    out.push_back({it.name(), it.revision()});
  return out;
}

} // namespace

std::string encode(const SnapshotRequest &it) {
  copy::CopyRequest out;
  out.set_kind(it.Kind);
  out.set_newer_than(it.NewerThan);
  writeCached(it.Cached, out);
  out.set_takes_packed(it.AcceptsPacked);
  return out.SerializeAsString();
}

Result<SnapshotRequest> decodeSnapshotRequest(const std::string &bytes) {
  copy::CopyRequest in;
  if (!in.ParseFromString(bytes))
    return malformed();
  return SnapshotRequest{in.kind(), in.newer_than(), readCached(in),
                         in.takes_packed()};
}

std::string encode(const SnapshotAnswer &it, const PackSpec &pack) {
  copy::CopyAnswer out;
  out.set_revision(it.Revision);
  for (const auto &[name, object] : it.Objects)
    toProto(object, pack, *out.add_objects());
  return out.SerializeAsString();
}

Result<SnapshotAnswer> decodeSnapshotAnswer(const std::string &bytes,
                                            const FindCachedSpec &findCached) {
  copy::CopyAnswer in;
  if (!in.ParseFromString(bytes))
    return malformed();
  SnapshotAnswer out;
  out.Revision = in.revision();
  for (const auto &it : in.objects()) {
    auto object = fromProto(it, findCached);
    if (!object)
      return object.error();
    out.Objects[it.name()] = std::move(object.value());
  }
  return out;
}

std::string encode(const WatchRequest &it) {
  copy::WatchRequest out;
  out.set_kind(it.Kind);
  out.set_newer_than(it.NewerThan);
  out.set_wait_us(toMicros(it.Wait));
  writeCached(it.Cached, out);
  out.set_takes_packed(it.AcceptsPacked);
  return out.SerializeAsString();
}

Result<WatchRequest> decodeWatchRequest(const std::string &bytes) {
  copy::WatchRequest in;
  if (!in.ParseFromString(bytes))
    return malformed();
  return WatchRequest{in.kind(), in.newer_than(), fromMicros(in.wait_us()),
                      readCached(in), in.takes_packed()};
}

std::string encode(const WatchAnswer &it, const PackSpec &pack) {
  copy::WatchAnswer out;
  out.set_outcome(static_cast<std::uint32_t>(it.Changes.Outcome));
  out.set_revision(it.Changes.Revision);
  for (const auto &object : it.Changes.Objects)
    toProto(object, pack, *out.add_objects());
  out.set_age_us(toMicros(it.Age));
  out.set_starting(it.Starting);
  return out.SerializeAsString();
}

Result<WatchAnswer> decodeWatchAnswer(const std::string &bytes,
                                      const FindCachedSpec &findCached) {
  copy::WatchAnswer in;
  constexpr auto MaxOutcome =
      static_cast<std::uint32_t>(proxy::ReadOutcome::Unavailable);
  if (!in.ParseFromString(bytes) || in.outcome() > MaxOutcome)
    return malformed();
  WatchAnswer out;
  out.Changes.Outcome = static_cast<proxy::ReadOutcome>(in.outcome());
  out.Changes.Revision = in.revision();
  for (const auto &it : in.objects()) {
    auto object = fromProto(it, findCached);
    if (!object)
      return object.error();
    out.Changes.Objects.push_back(std::move(object.value()));
  }
  out.Age = fromMicros(in.age_us());
  out.Starting = in.starting();
  return out;
}

} // namespace peridotfall::messages
