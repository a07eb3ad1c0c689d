/// \file
/// A minimal test double of the platform: versioned objects, watches and the
/// list of VMs, with faults that tests can inject.
///
/// In addition to the API of src/platform/http_platform.h it serves
///
///     POST /control   {"down": bool, "delayMs": N, "loseAnswers": N,
///                      "vms": [...], "counts": true}

#ifndef PERIDOTFALL_TESTS_STANDIN_PLATFORM_H
#define PERIDOTFALL_TESTS_STANDIN_PLATFORM_H

#include "base/document.h"
#include "http/loops.h"
#include "http/server.h"
#include "platform/platform.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace peridotfall::standin {

class Platform : public std::enable_shared_from_this<Platform> {
public:
  explicit Platform(http::Loops &loops) : Pool(loops) {}

  std::error_code start(const std::string &address);
  std::uint16_t port() const { return Server->port(); }
  void stop();

private:
  struct Waiter {
    std::uint64_t After = 0;
    http::Respond Done;
  };

  void handle(const http::Request &request, const http::Respond &respond);
  void serve(const http::Request &request, const http::Respond &respond);
  http::Response get(const std::string &key);
  http::Response put(const std::string &key, std::uint64_t expected,
                     const std::string &value);
  void watch(const std::string &key, std::uint64_t after,
             std::chrono::milliseconds wait, const http::Respond &respond);
  http::Response control(const std::string &body);
  void runAfter(std::chrono::milliseconds delay, std::function<void()> action);

  http::Loops &Pool;
  std::shared_ptr<http::Server> Server;
  std::mutex Lock;
  std::map<std::string, platform::Object> Objects;
  std::map<std::string, std::vector<Waiter>> Waiters;
  std::map<std::string, std::uint64_t> Counts; ///< Calls by kind.
  Json Vms = Json::array();
  bool Down = false;
  std::chrono::milliseconds Delay{0};
  unsigned LoseAnswers = 0; ///< Number of next changes that take effect but
                            ///< get no answer.
};

/// \return the value of a query parameter of \p path, or 0.
std::uint64_t queryNumber(const std::string &path, const std::string &name);

http::Response jsonResponse(int status, const Json &body);

} // namespace peridotfall::standin

#endif // PERIDOTFALL_TESTS_STANDIN_PLATFORM_H
