/// \file
/// Event loops, one per thread. A connection stays on one loop until it closes.

#ifndef PERIDOTFALL_HTTP_LOOPS_H
#define PERIDOTFALL_HTTP_LOOPS_H

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace peridotfall::http {

class Loops {
public:
  explicit Loops(unsigned threads);
  ~Loops();
  Loops(const Loops &) = delete;
  Loops &operator=(const Loops &) = delete;

  /// \return the next loop, round robin.
  asio::io_context &next();
  asio::io_context &at(std::size_t n) { return *Contexts[n]; }
  std::size_t size() const { return Contexts.size(); }

  /// Stops all loops and joins their threads. Must not be called from a loop's
  /// thread.
  void stop();

private:
  /// Makes shutdown() accessible: the pending work of all loops is dropped
  /// before any loop is destroyed, as it may own timers of another loop.
  struct Context : asio::io_context {
    using asio::execution_context::shutdown;
    using asio::io_context::io_context;
  };

  std::vector<std::unique_ptr<Context>> Contexts;
  std::vector<asio::executor_work_guard<asio::io_context::executor_type>>
      WorkGuards;
  std::vector<std::thread> Threads;
  std::atomic<std::size_t> NextIndex{0};
};

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_LOOPS_H
