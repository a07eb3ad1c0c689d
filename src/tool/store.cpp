#include "tool/store.h"

#include "base/document.h"
#include "base/encoding.h"

#include <fmt/format.h>
#include <future>
#include <memory>
#include <utility>

namespace peridotfall::tool {

namespace {

constexpr std::size_t IdBytes = 8;
constexpr int MaxAttempts = 5;

/// Blocks until the call's callback has run. \return its result.
template <class Call> Result<platform::Object> waitFor(Call call) {
  auto promise = std::make_shared<std::promise<Result<platform::Object>>>();
  auto future = promise->get_future();
  call([promise](Result<platform::Object> it) {
    promise->set_value(std::move(it));
  });
  return future.get();
}

Result<platform::Object> get(const platform::Api &api, const char *key) {
  return waitFor(
      [&](platform::OnObject done) { api.Get(key, std::move(done)); });
}

Result<platform::Object> put(const platform::Api &api, const char *key,
                             std::uint64_t expected, const std::string &value) {
  return waitFor([&](platform::OnObject done) {
    api.Put(key, expected, value, std::move(done));
  });
}

Result<Configuration> parseStored(const platform::Object &it) {
  auto parsed = parseConfiguration(it.Value);
  if (parsed)
    return std::move(parsed.value());
  // Restarting at revision 0 would make every daemon ignore later revisions.
  return Error{ErrorCode::Invalid,
               "the stored configuration cannot be read: " +
                   describe(parsed.error().front(), "platform")};
}

Error conflictError(const platform::Api &api) {
  auto stored = get(api, platform::ConfigurationKey);
  auto config =
      stored ? parseStored(stored.value()) : Result<Configuration>(Error{});
  if (!config)
    return {ErrorCode::Conflict,
            "another operator changed the configuration first"};
  return {ErrorCode::Conflict,
          fmt::format("{} has applied revision {} (id {}) in the meantime",
                      config.value().AppliedBy, config.value().Revision,
                      config.value().Id)};
}

Result<StoredAnswers> readAnswers(const std::string &text) {
  auto json = parseJson(text);
  Findings findings;
  StoredAnswers out;
  if (json) {
    ObjectReader it(json.value(), "", findings);
    out = {it.number("revision", 1, UINT64_MAX), it.text("id"),
           it.text("appliedBy"), it.text("answers")};
  }
  if (json && findings.empty())
    return out;
  return Error{ErrorCode::Invalid, "the stored answers cannot be read"};
}

std::string writeAnswers(const StoredAnswers &it) {
  return Json{{"revision", it.Revision},
              {"id", it.Id},
              {"appliedBy", it.AppliedBy},
              {"answers", it.Text}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

Result<std::optional<Configuration>>
fetchConfiguration(const platform::Api &api) {
  auto stored = get(api, platform::ConfigurationKey);
  if (!stored && stored.error().Code == ErrorCode::NotFound)
    return std::optional<Configuration>();
  if (!stored)
    return stored.error();
  auto config = parseStored(stored.value());
  if (!config)
    return config.error();
  return std::optional(std::move(config.value()));
}

Result<Configuration> updateConfiguration(const platform::Api &api,
                                          const ConfigurationUpdate &next,
                                          const std::string &operatorName) {
  auto stored = get(api, platform::ConfigurationKey);
  if (!stored && stored.error().Code != ErrorCode::NotFound)
    return Error{ErrorCode::Unavailable, stored.error().Message};
  std::optional<Configuration> current;
  if (stored) {
    auto config = parseStored(stored.value());
    if (!config)
      return config.error();
    current = std::move(config.value());
  }
  auto config = next(current ? &*current : nullptr);
  config.Revision = (current ? current->Revision : 0) + 1;
  config.Id = randomHex(IdBytes);
  config.AppliedBy = operatorName;
  auto result =
      put(api, platform::ConfigurationKey, stored ? stored.value().Version : 0,
          writeConfiguration(config));
  if (result)
    return config;
  if (result.error().Code == ErrorCode::Conflict)
    return conflictError(api);
  return result.error();
}

Result<StoredAnswers> storeAnswers(const platform::Api &api,
                                   const StoredAnswers &answers) {
  Error last;
  for (int n = 0; n < MaxAttempts; ++n) {
    auto stored = get(api, platform::AnswersKey);
    if (!stored && stored.error().Code != ErrorCode::NotFound)
      return stored.error();
    if (stored) {
      auto known = readAnswers(stored.value().Value);
      if (known && known.value().Revision >= answers.Revision)
        return known;
    }
    auto result =
        put(api, platform::AnswersKey, stored ? stored.value().Version : 0,
            writeAnswers(answers));
    if (result)
      return answers;
    last = result.error();
    if (last.Code != ErrorCode::Conflict)
      return last;
  }
  return last;
}

Result<StoredAnswers> fetchAnswers(const platform::Api &api) {
  auto stored = get(api, platform::AnswersKey);
  if (!stored)
    return stored.error();
  return readAnswers(stored.value().Value);
}

} // namespace peridotfall::tool
