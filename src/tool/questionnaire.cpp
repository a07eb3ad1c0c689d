#include "peridotfall/questionnaire.h"
#include "tool/commands.h"
#include "tool/store.h"

#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace peridotfall::tool {

namespace {

std::optional<std::string> readFile(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return std::nullopt;
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

int show(const platform::Api &api) {
  auto config = fetchConfiguration(api);
  if (!config)
    return reportError(config.error());
  if (!config.value()) {
    std::cerr << "no configuration has been applied\n";
    return Failed;
  }
  const auto &it = *config.value();
  std::cerr << fmt::format("revision {} id {} applied by {}\n", it.Revision,
                           it.Id, it.AppliedBy);
  for (const auto &vm : it.Drained)
    std::cerr << "drained: " << vm.Value << "\n";
  auto answers = fetchAnswers(api);
  if (!answers)
    return reportError(answers.error());
  std::cerr << fmt::format("answers of revision {} by {}\n",
                           answers.value().Revision, answers.value().AppliedBy);
  std::cout << answers.value().Text;
  return Success;
}

int apply(const platform::Api &api, const Configuration &config,
          const std::string &answers, const std::string &operatorName) {
  auto accepted = updateConfiguration(
      api,
      [&](const Configuration *current) {
        auto next = config;
        // Drained VMs stay drained until an operator undrains them.
        if (current)
          next.Drained = current->Drained;
        return next;
      },
      operatorName);
  if (!accepted)
    return reportError(accepted.error());
  const auto &it = accepted.value();
  std::cout << fmt::format("accepted revision {} id {}\n", it.Revision, it.Id);
  auto stored = storeAnswers(api, {it.Revision, it.Id, operatorName, answers});
  if (stored)
    return Success;
  std::cerr << "the configuration is accepted, but its answers were not "
               "stored; apply again: "
            << stored.error().Message << "\n";
  return Unknown;
}

} // namespace

int runQuestionnaire(const ToolOptions &options, const Arguments &args) {
  if (args == Arguments{"show"})
    return show(PlatformClient(options.Platform).api());
  bool known =
      args.size() == 2 &&
      (args[0] == "check" || args[0] == "generate" || args[0] == "apply");
  if (!known) {
    std::cerr << "usage: peridotfall questionnaire check|generate|apply FILE\n"
                 "       peridotfall questionnaire show\n";
    return BadUsage;
  }
  auto text = readFile(args[1]);
  if (!text) {
    std::cerr << "cannot read " << args[1] << "\n";
    return BadUsage;
  }
  auto config = generateConfiguration(*text);
  if (!config) {
    for (const auto &it : config.error())
      std::cerr << describe(it, args[1]) << "\n";
    return BadUsage;
  }
  if (args[0] == "check") {
    std::cout << "no findings\n";
    return Success;
  }
  if (args[0] == "generate") {
    std::cout << writeConfiguration(config.value()) << "\n";
    return Success;
  }
  return apply(PlatformClient(options.Platform).api(), config.value(), *text,
               options.Operator);
}

} // namespace peridotfall::tool
