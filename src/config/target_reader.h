/// \file
/// Parses a target, which has the same form in the questionnaire and in the
/// configuration.

#ifndef PERIDOTFALL_CONFIG_TARGET_READER_H
#define PERIDOTFALL_CONFIG_TARGET_READER_H

#include "base/document.h"
#include "peridotfall/configuration.h"

#include <string>

namespace peridotfall {

/// \param domainField name of the field with the failure domain.
TargetConfig readTarget(const Json &json, const std::string &place,
                        const char *domainField, Findings &findings);

} // namespace peridotfall

#endif // PERIDOTFALL_CONFIG_TARGET_READER_H
