// Workload of the demo: sessions that send each request to a random daemon,
// place orders, read their own order back and run lookups. At the end it counts
// every order at the primary and checks the guarantees to callers.

#include "base/document.h"
#include "http/channel.h"
#include "http/loops.h"
#include "http/status.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(entries, "", "addresses of entry daemons, comma separated");
DEFINE_string(database, "orders-shop", "database");
DEFINE_uint32(sessions, 20, "number of concurrent sessions");
DEFINE_uint32(seconds, 10, "how long to place orders");
DEFINE_uint32(lookups, 8, "lookups after each order");
DEFINE_uint32(think_ms, 5, "pause of a session before each lookup");
DEFINE_uint64(seed, 1, "seed for the choice of daemons");
DEFINE_string(
    kill_file, "",
    "file with the time of the primary's failure, in ms since the epoch");

namespace {

using namespace peridotfall;
using Clock = std::chrono::system_clock;
using std::chrono::milliseconds;

constexpr milliseconds RequestDeadline{4'000};
constexpr milliseconds RetryPause{50};
/// Time for replicas to get the table: lookups are stale reads, and would fail
/// without it.
constexpr milliseconds ReplicationTime{500};
constexpr auto CountMark = "count-mark";
/// Time to create the table, and for retries after the last order.
constexpr milliseconds RetryTimeout{20'000};

std::int64_t nowMs() {
  return std::chrono::duration_cast<milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

struct Counts {
  std::uint64_t Acknowledged = 0;
  std::uint64_t OwnReads = 0;
  std::uint64_t OwnFound = 0;
  std::uint64_t Reads = 0;
  std::uint64_t ReplicaReads = 0;
  std::uint64_t Retries = 0;
};

/// Times at which a write was sent first and acknowledged, in ms since the
/// epoch.
struct AckTimes {
  std::int64_t Begun = 0;
  std::int64_t Done = 0;
};

struct Answer {
  bool Done = false;
  Json Body;
};

class Workload : public std::enable_shared_from_this<Workload> {
public:
  Workload(asio::io_context &loop, const std::vector<std::string> &entries)
      : Loop(loop), Random(FLAGS_seed) {
    for (const auto &it : entries)
      Entries.push_back(
          std::make_shared<http::Channel>(loop, it, http::ChannelOptions{}));
  }

  void run();
  void close() {
    for (const auto &it : Entries)
      it->close();
  }

  Counts Total;
  std::vector<std::string> Placed;
  std::vector<AckTimes> Acks;
  std::map<std::string, int> Found;

private:
  struct Session {
    std::size_t Number = 0;
    std::size_t Order = 0;
    std::string Token;
    std::uint32_t LookupsLeft = 0;
    std::string Primary;
  };
  using SessionPtr = std::shared_ptr<Session>;
  using OnAnswer = std::function<void(Answer)>;

  void createTable(const std::function<void()> &then);
  void placeOrder(const SessionPtr &it);
  void readBack(const SessionPtr &it, const std::string &ref);
  void lookUp(const SessionPtr &it);
  void countOrders(const std::function<void()> &then);
  void pause(milliseconds wait, std::function<void()> then);
  /// Sends the request to a random daemon, and retries with the same key until
  /// it is done, is rejected or times out.
  void send(const SessionPtr &it, const Json &body, const std::string &key,
            OnAnswer done);
  bool isOver() const { return nowMs() >= End; }

  asio::io_context &Loop;
  std::vector<std::shared_ptr<http::Channel>> Entries;
  std::mt19937_64 Random;
  std::int64_t End = 0;
  std::size_t Running = 0;
  std::promise<void> Finished;
};

void Workload::pause(milliseconds wait, std::function<void()> then) {
  auto timer = std::make_shared<asio::steady_timer>(Loop, wait);
  timer->async_wait([timer, then = std::move(then)](std::error_code ec) {
    if (!ec)
      then();
  });
}

void Workload::send(const SessionPtr &it, const Json &body,
                    const std::string &key, OnAnswer done) {
  http::Request request;
  request.Method = "POST";
  request.Path = fmt::format("/v1/databases/{}/statements", FLAGS_database);
  request.Body = body.dump();
  request.Fields = {
      {"peridotfall-deadline-ms", std::to_string(RequestDeadline.count())}};
  if (!key.empty())
    request.Fields.push_back({"idempotency-key", key});
  if (!it->Token.empty())
    request.Fields.push_back({"peridotfall-session", it->Token});
  auto &entry = Entries[Random() % Entries.size()];
  entry->call(
      std::move(request), RequestDeadline + milliseconds(500),
      [self = shared_from_this(), it, body, key,
       done = std::move(done)](const http::CallResult &result) {
        if (result) {
          auto token =
              http::findHeader(result.value().Fields, "peridotfall-session");
          if (!token.empty())
            it->Token = std::string(token);
          if (result.value().Status == http::StatusOk) {
            done({true, Json::parse(result.value().Body, nullptr, false)});
            return;
          }
          if (result.value().Status == 400 || result.value().Status == 422) {
            std::cerr << "rejected: " << result.value().Body << "\n";
            done({false, {}});
            return;
          }
        }
        ++self->Total.Retries;
        if (nowMs() > self->End + RetryTimeout.count()) {
          std::cerr << "timed out: "
                    << (result ? result.value().Body : result.error().Message)
                    << "\n";
          done({false, {}});
          return;
        }
        self->pause(RetryPause, [self, it, body, key, done] {
          self->send(it, body, key, done);
        });
      });
}

void Workload::createTable(const std::function<void()> &then) {
  auto it = std::make_shared<Session>();
  send(it,
       {{"kind", "schema"},
        {"sql", "CREATE TABLE IF NOT EXISTS orders(ref TEXT, item TEXT)"}},
       "demo-schema", [then](const Answer &) { then(); });
}

void Workload::placeOrder(const SessionPtr &it) {
  if (isOver()) {
    if (--Running == 0)
      Finished.set_value();
    return;
  }
  auto ref = fmt::format("order-{}-{}", it->Number, it->Order++);
  Placed.push_back(ref);
  auto begun = nowMs();
  send(it,
       {{"kind", "place-order"},
        {"sql", "INSERT INTO orders(ref, item) VALUES(?, ?)"},
        {"params", {ref, "flyer"}}},
       ref, [self = shared_from_this(), it, ref, begun](const Answer &answer) {
         if (answer.Done) {
           ++self->Total.Acknowledged;
           self->Acks.push_back({begun, nowMs()});
           it->Primary = answer.Body.value("servedBy", "");
           self->readBack(it, ref);
         } else {
           self->placeOrder(it);
         }
       });
}

void Workload::readBack(const SessionPtr &it, const std::string &ref) {
  send(it,
       {{"kind", "order-status"},
        {"sql", "SELECT count(*) FROM orders WHERE ref = ?"},
        {"params", {ref}}},
       "", [self = shared_from_this(), it](const Answer &answer) {
         if (answer.Done) {
           ++self->Total.OwnReads;
           ++self->Total.Reads;
           if (answer.Body["rows"][0][0] == 1)
             ++self->Total.OwnFound;
           if (answer.Body.value("servedBy", "") != it->Primary)
             ++self->Total.ReplicaReads;
         }
         it->LookupsLeft = FLAGS_lookups;
         self->lookUp(it);
       });
}

void Workload::lookUp(const SessionPtr &it) {
  if (it->LookupsLeft == 0) {
    placeOrder(it);
    return;
  }
  --it->LookupsLeft;
  pause(milliseconds(FLAGS_think_ms), [self = shared_from_this(), it] {
    self->send(it,
               {{"kind", "catalogue"},
                {"sql", "SELECT item, count(*) FROM orders GROUP BY item"}},
               "", [self, it](const Answer &answer) {
                 if (answer.Done) {
                   ++self->Total.Reads;
                   if (answer.Body.value("servedBy", "") != it->Primary)
                     ++self->Total.ReplicaReads;
                 }
                 self->lookUp(it);
               });
  });
}

void Workload::run() {
  auto self = shared_from_this();
  asio::post(Loop, [self] {
    self->End = nowMs() + RetryTimeout.count();
    self->createTable([self] {
      self->pause(ReplicationTime, [self] {
        self->End = nowMs() + std::int64_t{FLAGS_seconds} * 1'000;
        self->Running = FLAGS_sessions;
        for (std::size_t n = 0; n < FLAGS_sessions; ++n) {
          auto it = std::make_shared<Session>();
          it->Number = n;
          self->placeOrder(it);
        }
      });
    });
  });
  Finished.get_future().wait();
  std::promise<void> counted;
  asio::post(Loop, [self, &counted] {
    self->End = nowMs();
    self->countOrders([&counted] { counted.set_value(); });
  });
  counted.get_future().wait();
}

/// Writes a row first, which comes after all others in the log, so that a read
/// of the same session sees every order. Without it a lagging replica would
/// answer without the last orders.
void Workload::countOrders(const std::function<void()> &then) {
  auto it = std::make_shared<Session>();
  auto read = [self = shared_from_this(), it, then](const Answer &) {
    self->send(it,
               {{"kind", "order-status"},
                {"sql", "SELECT ref, count(*) FROM orders GROUP BY ref"}},
               "", [self, then](const Answer &answer) {
                 if (answer.Done)
                   for (const auto &row : answer.Body["rows"])
                     self->Found[row[0].get<std::string>()] = row[1].get<int>();
                 self->Found.erase(CountMark);
                 then();
               });
  };
  send(it,
       {{"kind", "place-order"},
        {"sql", "INSERT INTO orders(ref, item) VALUES(?, 'count')"},
        {"params", {CountMark}}},
       CountMark, read);
}

/// \return ms from the primary's failure to the next acknowledged write, or -1.
std::int64_t failoverGap(const std::vector<AckTimes> &acks) {
  std::ifstream in(FLAGS_kill_file);
  std::int64_t failedAt = 0;
  if (FLAGS_kill_file.empty() || !(in >> failedAt))
    return -1;
  // A write sent before the failure may have been acknowledged by the old
  // primary; one sent after it was acknowledged by the new one.
  std::int64_t gap = -1;
  for (const auto &it : acks)
    if (it.Begun > failedAt)
      gap = gap < 0 ? it.Done - failedAt : std::min(gap, it.Done - failedAt);
  return gap;
}

int report(const Workload &workload) {
  std::uint64_t once = 0;
  std::uint64_t duplicated = 0;
  for (const auto &[ref, n] : workload.Found) {
    once += n == 1;
    duplicated += n > 1;
  }
  std::uint64_t lost = 0;
  for (const auto &it : workload.Placed)
    lost += workload.Found.count(it) == 0;
  const auto &total = workload.Total;
  // An order that timed out has an unknown outcome and does not count as lost.
  auto unacknowledged = workload.Placed.size() - total.Acknowledged;
  lost = lost > unacknowledged ? lost - unacknowledged : 0;
  fmt::print(
      "orders acknowledged {} found exactly once {} doubled {} lost {}\n",
      total.Acknowledged, once, duplicated, lost);
  fmt::print("reads that must see the own write {} did {}\n", total.OwnReads,
             total.OwnFound);
  fmt::print("share of reads served by replicas {:.3f} of {}\n",
             total.Reads == 0 ? 0.0
                              : static_cast<double>(total.ReplicaReads) /
                                    static_cast<double>(total.Reads),
             total.Reads);
  auto gap = failoverGap(workload.Acks);
  if (!FLAGS_kill_file.empty())
    fmt::print("failover gap {} ms\n", gap);
  bool kept = total.Acknowledged > 0 && duplicated == 0 && lost == 0 &&
              total.OwnReads == total.OwnFound && unacknowledged == 0 &&
              (FLAGS_kill_file.empty() || gap >= 0);
  fmt::print("promises {}\n", kept ? "kept" : "BROKEN");
  return kept ? 0 : 1;
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<std::string> entries;
  std::istringstream in(FLAGS_entries);
  for (std::string it; std::getline(in, it, ',');)
    entries.push_back(it);
  if (entries.empty()) {
    std::cerr << "usage: demo_caller --entries ADDRESS[,ADDRESS...]\n";
    return 2;
  }
  http::Loops loops(1);
  auto workload = std::make_shared<Workload>(loops.at(0), entries);
  workload->run();
  workload->close();
  return report(*workload);
}
