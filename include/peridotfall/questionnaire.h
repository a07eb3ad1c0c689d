/// \file
/// The questionnaire: a team's answers about its databases. The configuration
/// is generated from it; operators don't edit the configuration by hand.

#ifndef PERIDOTFALL_QUESTIONNAIRE_H
#define PERIDOTFALL_QUESTIONNAIRE_H

#include "peridotfall/configuration.h"
#include "peridotfall/result.h"

#include <string>

namespace peridotfall {

/// \param json the completed questionnaire.
/// \return the configuration, without a revision, or all findings, each with
/// its place in the questionnaire.
Parsed<Configuration> generateConfiguration(const std::string &json);

} // namespace peridotfall

#endif // PERIDOTFALL_QUESTIONNAIRE_H
