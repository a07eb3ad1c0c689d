/// \file
/// A daemon's word on whether it reaches a group's primary.

#ifndef PERIDOTFALL_MESSAGES_LEAD_VIEW_H
#define PERIDOTFALL_MESSAGES_LEAD_VIEW_H

#include "peridotfall/result.h"

#include <compare>
#include <string>

namespace peridotfall::messages {

inline constexpr auto LeadViewPath = "/inner/v1/lead-view";

struct LeadQuestion {
  std::string Group;

  auto operator<=>(const LeadQuestion &) const = default;
};

struct LeadView {
  bool Known = false;   ///< The daemon has heard of the group.
  bool Reaches = false; ///< Its primary answered it lately.

  auto operator<=>(const LeadView &) const = default;
};

std::string encode(const LeadQuestion &it);
std::string encode(const LeadView &it);
Result<LeadQuestion> decodeLeadQuestion(const std::string &bytes);
Result<LeadView> decodeLeadView(const std::string &bytes);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_LEAD_VIEW_H
