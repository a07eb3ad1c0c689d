// Runs the stand-in platform as a process.

#include "standin/platform.h"

#include <asio/signal_set.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "IP number and port to listen on");

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  peridotfall::http::Loops loops(1);
  auto platform = std::make_shared<peridotfall::standin::Platform>(loops);
  if (auto ec = platform->start(FLAGS_listen)) {
    std::cerr << fmt::format("cannot listen on {}: {}\n", FLAGS_listen,
                             ec.message());
    return 1;
  }
  std::cout << fmt::format("listening on port {}", platform->port())
            << std::endl;
  asio::io_context main;
  asio::signal_set signals(main, SIGINT, SIGTERM);
  signals.async_wait([](std::error_code, int) {});
  main.run();
  platform->stop();
  loops.stop();
  return 0;
}
