#include "config/target_reader.h"

namespace peridotfall {

namespace {

constexpr std::uint64_t MaxSlots = 1'000;
constexpr std::uint64_t MaxConnections = 10'000;

} // namespace

TargetConfig readTarget(const Json &json, const std::string &place,
                        const char *domainField, Findings &findings) {
  ObjectReader it(json, place, findings);
  TargetConfig target;
  target.Name = TargetName(it.text("name"));
  target.Domain = DomainName(it.text(domainField));
  target.Address = it.text("address");
  target.Slots = static_cast<std::uint32_t>(it.number("slots", 1, MaxSlots));
  target.Connections =
      static_cast<std::uint32_t>(it.number("connections", 2, MaxConnections));
  it.finish();
  return target;
}

} // namespace peridotfall
