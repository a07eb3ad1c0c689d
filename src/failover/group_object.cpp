// JSON form of the group object.

#include "base/document.h"
#include "peridotfall/failover.h"

namespace peridotfall::failover {

std::string writeGroupObject(const GroupObject &it) {
  Json successors = Json::array();
  for (const auto &n : it.Successors)
    successors.push_back({{"term", n.InTerm}, {"target", n.Nominee.Value}});
  Json out = {{"id", it.Id},
              {"term", it.InTerm},
              {"primary", it.Primary.Value},
              {"successors", successors}};
  return out.dump(2, ' ', false, Json::error_handler_t::replace);
}

Parsed<GroupObject> parseGroupObject(const std::string &json) {
  auto parsed = parseJson(json);
  if (!parsed)
    return parsed.error();
  Findings findings;
  ObjectReader in(parsed.value(), "", findings);
  GroupObject it;
  it.Id = in.text("id");
  it.InTerm = in.number("term", 1, INT64_MAX);
  it.Primary = TargetName(in.text("primary"));
  auto last = it.InTerm;
  const auto &successors = in.list("successors");
  for (std::size_t n = 0; n < successors.size(); ++n) {
    ObjectReader entry(successors[n], "/successors/" + std::to_string(n),
                       findings);
    Successor successor;
    successor.InTerm = entry.number("term", last + 1, INT64_MAX);
    successor.Nominee = TargetName(entry.text("target"));
    last = std::max(last, successor.InTerm);
    it.Successors.push_back(std::move(successor));
  }
  if (!findings.empty())
    return findings;
  return it;
}

} // namespace peridotfall::failover
