#include "telemetry/log_writer.h"

#include <chrono>
#include <csignal>
#include <future>
#include <memory>
#include <mutex>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <thread>

namespace peridotfall::telemetry {

namespace {

/// Maximum wait in closeLog for a stalled reader.
constexpr std::chrono::milliseconds CloseTimeout{200};

struct Writer {
  std::shared_ptr<spdlog::details::thread_pool> Pool;
  std::shared_ptr<spdlog::async_logger> Logger;
};

std::mutex Lock;
/// Never destroyed: at exit the writing thread may still use it, and destroying
/// the sink would race with that thread.
Writer &Current = *new Writer; // NOLINT: see above.
bool Closed = false;
std::function<void(const std::string &)> Sink;

Writer makeWriter() {
  // Writing to a closed standard output must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  Writer it;
  it.Pool = std::make_shared<spdlog::details::thread_pool>(MaxQueuedLines, 1);
  auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  it.Logger = std::make_shared<spdlog::async_logger>(
      "events", std::move(sink), it.Pool,
      spdlog::async_overflow_policy::overrun_oldest);
  it.Logger->set_pattern("%v");
  it.Logger->set_level(spdlog::level::trace);
  it.Logger->flush_on(spdlog::level::trace);
  // A line that cannot be written is lost; there is no other place to log it.
  it.Logger->set_error_handler([](const std::string &) {});
  return it;
}

} // namespace

void writeLine(const std::string &line) {
  std::lock_guard guard(Lock);
  if (Sink) {
    Sink(line);
    return;
  }
  if (Closed)
    return;
  if (!Current.Logger)
    Current = makeWriter();
  Current.Logger->info(line);
}

void setLineSink(std::function<void(const std::string &)> sink) {
  std::lock_guard guard(Lock);
  Sink = std::move(sink);
}

bool hasLineSink() {
  std::lock_guard guard(Lock);
  return static_cast<bool>(Sink);
}

std::uint64_t droppedLines() {
  std::lock_guard guard(Lock);
  return Current.Pool ? Current.Pool->overrun_counter() : 0;
}

void closeLog() {
  Writer last;
  {
    std::lock_guard guard(Lock);
    Closed = true;
    last = std::move(Current);
  }
  if (!last.Pool)
    return;
  last.Logger.reset();
  // The pool's destructor joins its thread, which a stalled reader may block.
  std::promise<void> finished;
  auto done = finished.get_future();
  std::thread([pool = std::move(last.Pool),
               finished = std::move(finished)]() mutable {
    pool.reset();
    finished.set_value();
  }).detach();
  done.wait_for(CloseTimeout);
}

} // namespace peridotfall::telemetry
