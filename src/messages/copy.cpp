#include "messages/copy.h"

#include "messages/compression.h"
#include "messages/copy.pb.h"
#include "messages/time.h"

namespace peridotfall::messages {

namespace {

Error malformed() {
  return {ErrorCode::Invalid, "inner message: not of this protocol"};
}

/// Bytes of one object's spec, unpacked.
constexpr std::size_t MaxSpec = 4 << 20;

void put(const proxy::StoredObject &it, const PackSpec &pack,
         copy::StoredObject &out) {
  out.set_name(it.Name);
  auto packed = pack ? pack(it) : std::nullopt;
  if (packed) {
    out.set_packed(std::move(packed->Frame));
    out.set_packed_against(packed->Against);
  } else
    out.set_spec(it.Spec);
  out.set_revision(it.Revision);
  out.set_deleted(it.Deleted);
}

Result<std::string> takeSpec(const copy::StoredObject &in,
                             const FindHeld &held) {
  if (in.packed().empty())
    return in.spec();
  if (in.packed_against() == 0)
    return decompress(in.packed(), "", MaxSpec);
  const auto *base = held ? held({in.name(), in.packed_against()}) : nullptr;
  if (!base)
    return Error{ErrorCode::NotFound, in.name() + ": no longer held as named"};
  return decompress(in.packed(), *base, MaxSpec);
}

Result<proxy::StoredObject> take(const copy::StoredObject &in,
                                 const FindHeld &held) {
  auto spec = takeSpec(in, held);
  if (!spec)
    return spec.error();
  return proxy::StoredObject{in.name(), std::move(spec.value()), in.revision(),
                             in.deleted()};
}

template <class Request>
void putHeld(const std::vector<HeldObject> &held, Request &out) {
  for (const auto &it : held) {
    auto *object = out.add_held();
    object->set_name(it.Name);
    object->set_revision(it.Revision);
  }
}

template <class Request> std::vector<HeldObject> takeHeld(const Request &in) {
  std::vector<HeldObject> out;
  for (const auto &it : in.held())
    out.push_back({it.name(), it.revision()});
  return out;
}

} // namespace

std::string encode(const CopyRequest &it) {
  copy::CopyRequest out;
  out.set_kind(it.Kind);
  out.set_newer_than(it.NewerThan);
  putHeld(it.Held, out);
  out.set_takes_packed(it.TakesPacked);
  return out.SerializeAsString();
}

Result<CopyRequest> decodeCopyRequest(const std::string &bytes) {
  copy::CopyRequest in;
  if (!in.ParseFromString(bytes))
    return malformed();
  return CopyRequest{in.kind(), in.newer_than(), takeHeld(in),
                     in.takes_packed()};
}

std::string encode(const CopyAnswer &it, const PackSpec &pack) {
  copy::CopyAnswer out;
  out.set_revision(it.Revision);
  for (const auto &[name, object] : it.Objects)
    put(object, pack, *out.add_objects());
  return out.SerializeAsString();
}

Result<CopyAnswer> decodeCopyAnswer(const std::string &bytes,
                                    const FindHeld &held) {
  copy::CopyAnswer in;
  if (!in.ParseFromString(bytes))
    return malformed();
  CopyAnswer out;
  out.Revision = in.revision();
  for (const auto &it : in.objects()) {
    auto object = take(it, held);
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
  putHeld(it.Held, out);
  out.set_takes_packed(it.TakesPacked);
  return out.SerializeAsString();
}

Result<WatchRequest> decodeWatchRequest(const std::string &bytes) {
  copy::WatchRequest in;
  if (!in.ParseFromString(bytes))
    return malformed();
  return WatchRequest{in.kind(), in.newer_than(), fromMicros(in.wait_us()),
                      takeHeld(in), in.takes_packed()};
}

std::string encode(const WatchAnswer &it, const PackSpec &pack) {
  copy::WatchAnswer out;
  out.set_outcome(static_cast<std::uint32_t>(it.Changes.Outcome));
  out.set_revision(it.Changes.Revision);
  for (const auto &object : it.Changes.Objects)
    put(object, pack, *out.add_objects());
  out.set_age_us(toMicros(it.Age));
  return out.SerializeAsString();
}

Result<WatchAnswer> decodeWatchAnswer(const std::string &bytes,
                                      const FindHeld &held) {
  copy::WatchAnswer in;
  constexpr auto Most =
      static_cast<std::uint32_t>(proxy::ReadOutcome::Unavailable);
  if (!in.ParseFromString(bytes) || in.outcome() > Most)
    return malformed();
  WatchAnswer out;
  out.Changes.Outcome = static_cast<proxy::ReadOutcome>(in.outcome());
  out.Changes.Revision = in.revision();
  for (const auto &it : in.objects()) {
    auto object = take(it, held);
    if (!object)
      return object.error();
    out.Changes.Objects.push_back(std::move(object.value()));
  }
  out.Age = fromMicros(in.age_us());
  return out;
}

} // namespace peridotfall::messages
