/// \file
/// Reads and writes the configuration and the questionnaire's answers on the
/// platform.

#ifndef PERIDOTFALL_TOOL_STORE_H
#define PERIDOTFALL_TOOL_STORE_H

#include "peridotfall/configuration.h"
#include "platform/platform.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace peridotfall::tool {

/// \return the current configuration, or nothing if none was ever applied.
Result<std::optional<Configuration>>
fetchConfiguration(const platform::Api &api);

/// Makes the next configuration.
/// \param current null if none was ever applied.
using ConfigurationUpdate =
    std::function<Configuration(const Configuration *current)>;

/// Passes the current configuration to \p next and stores the result under the
/// next revision and a new identifier. \return the stored configuration.
/// Errors: Conflict, with the name of the operator who changed it first;
/// Unavailable if nothing was changed.
Result<Configuration> updateConfiguration(const platform::Api &api,
                                          const ConfigurationUpdate &next,
                                          const std::string &operatorName);

/// The questionnaire's answers that a configuration was generated from.
struct StoredAnswers {
  std::uint64_t Revision = 0;
  std::string Id;
  std::string AppliedBy;
  std::string Text;

  auto operator<=>(const StoredAnswers &) const = default;
};

/// Stores the answers unless those of the same or a higher revision are
/// stored. \return the stored answers; NotFound, Unavailable or Unknown if they
/// could not be stored.
Result<StoredAnswers> storeAnswers(const platform::Api &api,
                                   const StoredAnswers &answers);
Result<StoredAnswers> fetchAnswers(const platform::Api &api);

} // namespace peridotfall::tool

#endif // PERIDOTFALL_TOOL_STORE_H
