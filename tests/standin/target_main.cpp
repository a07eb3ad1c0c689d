// Runs a stand-in target as a process.

#include "standin/target.h"

#include <asio/signal_set.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "IP number and port to listen on");
DEFINE_uint32(connections, 16, "maximum number of open connections");
DEFINE_uint32(slots, 2, "maximum number of concurrent statements");
DEFINE_uint32(connect_ms, 0, "time to open a connection");
DEFINE_uint32(service_us, 0, "time a statement occupies its slot");
DEFINE_uint32(ship_lag_ms, 0, "lag until a replica's log has a record");
DEFINE_uint32(apply_lag_ms, 0, "further lag until a replica's readers see it");
DEFINE_bool(primary, false, "start as the primary of term 1");
DEFINE_string(follow, "", "address of the primary to follow in term 1");

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  using std::chrono::milliseconds;
  peridotfall::standin::TargetOptions options;
  options.Address = FLAGS_listen;
  options.Connections = FLAGS_connections;
  options.Slots = FLAGS_slots;
  options.ConnectTime = milliseconds(FLAGS_connect_ms);
  options.ServiceTime = std::chrono::microseconds(FLAGS_service_us);
  options.ShipLag = milliseconds(FLAGS_ship_lag_ms);
  options.ApplyLag = milliseconds(FLAGS_apply_lag_ms);
  options.Primary = FLAGS_primary;
  options.Follow = FLAGS_follow;
  peridotfall::http::Loops loops(1);
  auto target = std::make_shared<peridotfall::standin::Target>(loops, options);
  if (auto ec = target->start()) {
    std::cerr << fmt::format("cannot listen on {}: {}\n", FLAGS_listen,
                             ec.message());
    return 1;
  }
  std::cout << fmt::format("listening on port {}", target->port()) << std::endl;
  asio::io_context main;
  asio::signal_set signals(main, SIGINT, SIGTERM);
  signals.async_wait([](std::error_code, int) {});
  main.run();
  target->stop();
  loops.stop();
  return 0;
}
