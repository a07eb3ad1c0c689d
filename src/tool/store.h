/// \file
/// Changes of the configuration and the answers at the platform.

#ifndef PERIDOTFALL_TOOL_STORE_H
#define PERIDOTFALL_TOOL_STORE_H

#include "peridotfall/configuration.h"
#include "platform/platform.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace peridotfall::tool {

/// \return the configuration in force, nothing where none was ever applied.
Result<std::optional<Configuration>>
fetchConfiguration(const platform::Api &api);

/// \param current null where none was ever applied.
using MakeNext = std::function<Configuration(const Configuration *current)>;

/// Stores what \p next makes of the configuration in force, under the next
/// revision and an identifier of its own. \return what was accepted. Errors:
/// Conflict names the operator who was first; Unavailable: nothing was done.
Result<Configuration> acceptNext(const platform::Api &api, const MakeNext &next,
                                 const std::string &operatorName);

/// The answers that led to a configuration.
struct StoredAnswers {
  std::uint64_t Revision = 0;
  std::string Id;
  std::string AppliedBy;
  std::string Text;

  auto operator<=>(const StoredAnswers &) const = default;
};

/// Keeps the answers of the highest revision. \return NotFound, Unavailable or
/// Unknown where they could not be stored.
Result<StoredAnswers> storeAnswers(const platform::Api &api,
                                   const StoredAnswers &answers);
Result<StoredAnswers> fetchAnswers(const platform::Api &api);

} // namespace peridotfall::tool

#endif // PERIDOTFALL_TOOL_STORE_H
