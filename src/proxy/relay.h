/// \file
/// Leases between daemons: asking the one that holds a target's connections,
/// and running what others ask for.

#ifndef PERIDOTFALL_PROXY_RELAY_H
#define PERIDOTFALL_PROXY_RELAY_H

#include "http/channel.h"
#include "http/message.h"
#include "proxy/groups.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace peridotfall::proxy {

namespace limits {

/// Beyond what a batch may take at its holder: the way there and back.
inline constexpr milliseconds RelaySlack{100};

} // namespace limits

/// Calls to other daemons.
class CallPort {
public:
  virtual ~CallPort() = default;
  virtual void call(const std::string &address, const char *path,
                    std::string body, const http::AnswerLimits &limits,
                    http::OnResult done) = 0;
};

/// One connection to each daemon. All calls on the loop.
class Channels final : public CallPort {
public:
  explicit Channels(asio::io_context &loop) : Loop(loop) {}

  std::shared_ptr<http::Channel> to(const std::string &address);
  /// A silent connection stays silent; the next call makes its own.
  void drop(const std::string &address);
  void call(const std::string &address, const char *path, std::string body,
            const http::AnswerLimits &limits, http::OnResult done) override;
  /// \param limit longest wait for the whole answer.
  void call(const std::string &address, const char *path, std::string body,
            milliseconds limit, http::OnResult done) {
    call(address, path, std::move(body), http::wholeWithin(limit),
         std::move(done));
  }

private:
  asio::io_context &Loop;
  std::map<std::string, std::shared_ptr<http::Channel>> Open;
};

/// Asks the holders. All calls on the loop.
class RelayClient final : public RelayPort {
public:
  RelayClient(Channels &channels,
              std::function<std::string(const VmName &)> addressOf)
      : Links(channels), AddressOf(std::move(addressOf)) {}

  void begin(const VmName &holder, LeaseId lease, const LeaseRequest &request,
             Batch first, OnBatch done) override;
  void run(LeaseId lease, Batch next, OnBatch done) override;
  void abandon(LeaseId lease) override;
  bool owns(LeaseId lease) const override { return Leases.contains(lease); }

private:
  struct Held {
    std::string Address;
    LeaseId There;          ///< The holder's id; invalid until it answered.
    bool Abandoned = false; ///< Before it answered.
  };

  void send(LeaseId lease, const char *path, std::string body,
            milliseconds limit, const OnBatch &done);
  void take(LeaseId lease, const http::CallResult &result, const OnBatch &done);
  void letGo(const std::string &address, LeaseId there);

  Channels &Links;
  std::function<std::string(const VmName &)> AddressOf;
  std::map<LeaseId, Held> Leases;
};

/// Runs what other daemons ask for. All calls on the loop.
class RelayServer {
public:
  explicit RelayServer(Groups &groups) : Targets(groups) {}

  /// \return whether the path is one of this protocol.
  bool handle(const http::Request &request, const http::Respond &respond);
  /// A daemon's connection is gone, and with it whoever waits for its leases.
  void closed(ConnectionHandle connection);

private:
  void begin(const http::Request &request, const http::Respond &respond);
  void run(const http::Request &request, const http::Respond &respond);
  void abandon(const http::Request &request, const http::Respond &respond);
  OnBatch answering(ConnectionHandle connection, std::shared_ptr<LeaseId> lease,
                    const http::Respond &respond);

  Groups &Targets;
  std::map<ConnectionHandle, std::set<LeaseId>> Leases;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_RELAY_H
