#include "proxy/object_packer.h"

#include "messages/compression.h"
#include "telemetry/events.h"

#include <algorithm>

namespace peridotfall::proxy {

using messages::CachedObjectId;
using messages::PackedSpec;
using telemetry::Event;
using telemetry::field;

std::vector<CachedObjectId> largeObjects(const Objects &it) {
  std::vector<CachedObjectId> out;
  for (const auto &[name, object] : it)
    if (object.Spec.size() >= limits::MinPackedSize)
      out.push_back({name, object.Revision});
  return out;
}

messages::FindCachedSpec findSpecIn(const ObjectCache &cache) {
  return [&cache](const CachedObjectId &it) -> const std::string * {
    auto object = cache.objects().find(it.Name);
    bool isHeld = object != cache.objects().end() &&
                  object->second.Revision == it.Revision;
    return isHeld ? &object->second.Spec : nullptr;
  };
}

messages::PackSpec ObjectPacker::packerFor(std::string kind,
                                           std::vector<CachedObjectId> held) {
  return [this, kind = std::move(kind), held = std::move(held)](
             const StoredObject &it) { return pack(kind, it, held); };
}

void ObjectPacker::recordVersion(SentObject &sent, const StoredObject &object) {
  if (!sent.Versions.empty() &&
      sent.Versions.back().Revision == object.Revision)
    return;
  sent.Frames.clear();
  sent.Versions.push_back({object.Revision, object.Spec});
  if (sent.Versions.size() > limits::KeptVersions)
    sent.Versions.pop_front();
}

const ObjectPacker::Version *
ObjectPacker::findBase(const SentObject &sent, const std::string &name,
                       const std::vector<CachedObjectId> &held) {
  for (const auto &it : sent.Versions)
    if (std::find(held.begin(), held.end(),
                  CachedObjectId{name, it.Revision}) != held.end())
      return &it;
  return nullptr;
}

std::optional<PackedSpec>
ObjectPacker::pack(const std::string &kind, const StoredObject &object,
                   const std::vector<CachedObjectId> &held) {
  if (object.Deleted || object.Spec.size() < limits::MinPackedSize)
    return std::nullopt;
  auto &sent = SentObjects[{kind, object.Name}];
  recordVersion(sent, object);
  const auto *base = findBase(sent, object.Name, held);
  auto against = base ? base->Revision : 0;
  auto known = sent.Frames.find(against);
  if (known != sent.Frames.end())
    return known->second;
  auto frame = messages::compress(object.Spec, base ? base->Spec : "");
  if (!frame) {
    telemetry::log(Event::ObjectNotPacked,
                   {field("kind", kind), field("name", object.Name),
                    field("why", frame.error().Message)});
    return std::nullopt;
  }
  return sent.Frames[against] = PackedSpec{std::move(frame.value()), against};
}

} // namespace peridotfall::proxy
