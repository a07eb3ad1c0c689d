#include "peridotfall/questionnaire.h"
#include "http/loops.h"
#include "platform/http_platform.h"
#include "tool/commands.h"

#include <fmt/format.h>
#include <fstream>
#include <future>
#include <iostream>
#include <optional>
#include <sstream>

namespace peridotfall::tool {

namespace {

constexpr int MostAttempts = 5;

std::optional<std::string> readFile(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return std::nullopt;
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

/// Waits for one call on the platform.
template <class Call> Result<platform::Object> wait(Call call) {
  auto promise = std::make_shared<std::promise<Result<platform::Object>>>();
  auto future = promise->get_future();
  call([promise](Result<platform::Object> it) {
    promise->set_value(std::move(it));
  });
  return future.get();
}

Result<platform::Object> fetch(const platform::Api &api) {
  return wait([&](platform::OnObject done) {
    api.Get(platform::ConfigurationKey, std::move(done));
  });
}

std::uint64_t revisionOf(const Result<platform::Object> &stored) {
  if (!stored)
    return 0;
  auto config = parseConfiguration(stored.value().Value);
  return config ? config.value().Revision : 0;
}

int reportConflict(const Result<platform::Object> &stored) {
  auto config = stored ? parseConfiguration(stored.value().Value)
                       : Parsed<Configuration>(Findings{});
  auto who = config ? config.value().AppliedBy : "another operator";
  auto revision = config ? config.value().Revision : 0;
  std::cerr << fmt::format(
      "not applied: {} has applied revision {} in the meantime\n", who,
      revision);
  return Conflict;
}

/// Failure: the platform makes the change and its answer is lost. Symptom: an
/// operator applies it again over a change that came after. Reading back the
/// configuration's own identifier tells whether it was accepted.
int store(const platform::Api &api, Configuration config) {
  auto before = fetch(api);
  if (!before && before.error().Code != ErrorCode::NotFound) {
    std::cerr << before.error().Message << "\n";
    return Unreachable;
  }
  auto version = before ? before.value().Version : 0;
  config.Revision = revisionOf(before) + 1;
  auto text = writeConfiguration(config);
  bool mayBeStored = false;
  for (int n = 0; n < MostAttempts; ++n) {
    auto put = wait([&](platform::OnObject done) {
      api.Put(platform::ConfigurationKey, version, text, std::move(done));
    });
    if (put) {
      std::cout << fmt::format("accepted revision {} id {}\n", config.Revision,
                               config.Id);
      return Success;
    }
    mayBeStored |= put.error().Code == ErrorCode::Unknown;
    auto stored = fetch(api);
    auto parsed = stored ? parseConfiguration(stored.value().Value)
                         : Parsed<Configuration>(Findings{});
    if (parsed && parsed.value().Id == config.Id) {
      std::cout << fmt::format("accepted revision {} id {}\n", config.Revision,
                               config.Id);
      return Success;
    }
    if (stored && stored.value().Version != version)
      return reportConflict(stored);
  }
  std::cerr << "the platform does not answer\n";
  return mayBeStored ? Unknown : Unreachable;
}

} // namespace

int runQuestionnaire(const ToolOptions &options, const Words &words) {
  if (words.size() != 2 ||
      (words[0] != "check" && words[0] != "generate" && words[0] != "apply")) {
    std::cerr << "usage: peridotfall questionnaire check|generate|apply FILE\n";
    return BadUsage;
  }
  auto text = readFile(words[1]);
  if (!text) {
    std::cerr << "cannot read " << words[1] << "\n";
    return BadUsage;
  }
  auto config = generateConfiguration(*text);
  if (!config) {
    for (const auto &it : config.error())
      std::cerr << describe(it, words[1]) << "\n";
    return BadUsage;
  }
  if (words[0] == "check") {
    std::cout << "no findings\n";
    return Success;
  }
  if (words[0] == "generate") {
    std::cout << writeConfiguration(config.value()) << "\n";
    return Success;
  }
  config.value().AppliedBy = options.Operator;
  http::Loops loops(1);
  auto api =
      platform::makeHttpPlatform(loops.at(0), {.Address = options.Platform});
  return store(api, std::move(config.value()));
}

} // namespace peridotfall::tool
