/// \file
/// The questionnaire: a team's answers about its databases, from which the
/// configuration is generated. Operators change nothing by hand.

#ifndef PERIDOTFALL_QUESTIONNAIRE_H
#define PERIDOTFALL_QUESTIONNAIRE_H

#include "peridotfall/configuration.h"
#include "peridotfall/result.h"

#include <string>

namespace peridotfall {

/// \param json the file of answers. \return the configuration they lead to,
/// without a revision, or all findings, each with its place.
Parsed<Configuration> generateConfiguration(const std::string &json);

} // namespace peridotfall

#endif // PERIDOTFALL_QUESTIONNAIRE_H
