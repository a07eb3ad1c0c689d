/// \file
/// Leases between daemons: requests to the daemon that holds a target's
/// connections, and execution of the requests of other daemons.

#ifndef PERIDOTFALL_PROXY_RELAY_H
#define PERIDOTFALL_PROXY_RELAY_H

#include "http/channel.h"
#include "http/message.h"
#include "proxy/groups.h"
#include "proxy/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace peridotfall::proxy {

namespace limits {

/// Added to the timeout of a batch at its holder, for the round trip.
inline constexpr milliseconds RelaySlack{100};
/// A connection to a daemon without a call for this long is closed. A daemon
/// then has as many as it makes calls to different daemons in this time, and
/// not one to each daemon that it ever called; each takes a descriptor and
/// memory at both ends. Longer than the interval between calls to a neighbour.
inline constexpr milliseconds ChannelIdleTimeout{15'000};

} // namespace limits

/// Calls to other daemons.
class CallPort {
public:
  virtual ~CallPort() = default;
  virtual void call(const std::string &address, const char *path,
                    std::string body, const http::AnswerLimits &limits,
                    http::OnResult done) = 0;
};

/// One connection to each daemon. All calls on the loop's thread.
class Channels final : public CallPort {
public:
  explicit Channels(asio::io_context &loop) : Loop(loop) {}

  std::function<void(ChannelEvent)> OnEvent;
  std::shared_ptr<http::Channel> to(const std::string &address);
  /// Closes an unresponsive connection; the next call opens a new one.
  void drop(const std::string &address);
  void call(const std::string &address, const char *path, std::string body,
            const http::AnswerLimits &limits, http::OnResult done) override;
  /// Closes the connections without a call for ChannelIdleTimeout.
  /// \param isHeld whether something else needs the connection to an address.
  void closeIdle(TimePoint now,
                 const std::function<bool(const std::string &)> &isHeld);
  std::size_t open() const { return Open.size(); }
  /// \param limit timeout of the whole answer.
  void call(const std::string &address, const char *path, std::string body,
            milliseconds limit, http::OnResult done) {
    call(address, path, std::move(body), http::totalTimeout(limit),
         std::move(done));
  }

private:
  void close(const std::string &address, ChannelEvent why);
  void report(ChannelEvent event) const;

  struct OpenChannel {
    std::shared_ptr<http::Channel> Channel;
    bool Used = false; ///< Since closeIdle() was last called.
    TimePoint LastUse{};
  };

  asio::io_context &Loop;
  std::map<std::string, OpenChannel> Open;
};

/// Requests leases from the holders. All calls on the loop's thread.
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
  /// \return whether a lease is open at the daemon, which ends with the
  /// connection to it.
  bool hasLeaseAt(const std::string &address) const;

private:
  struct RemoteLease {
    std::string Address;
    RemoteLeaseId RemoteId; ///< At the holder; invalid until it has answered.
    bool Abandoned = false; ///< Before the holder answered.
  };

  void send(LeaseId lease, const char *path, std::string body,
            milliseconds limit, const OnBatch &done);
  void handleAnswer(LeaseId lease, const http::CallResult &result,
                    const OnBatch &done);
  void sendAbandon(const std::string &address, const RemoteLeaseId &there);

  Channels &Links;
  std::function<std::string(const VmName &)> AddressOf;
  std::map<LeaseId, RemoteLease> Leases;
};

/// Runs the leases of other daemons. All calls on the loop's thread.
class RelayServer {
public:
  /// \param self this run of the daemon.
  RelayServer(Groups &groups, ProcessId self) : Targets(groups), Self(self) {}

  /// \return whether the path belongs to this protocol.
  bool handle(const http::Request &request, const http::Respond &respond);
  /// Abandons the leases of a connection that has closed.
  void closed(ConnectionHandle connection);
  /// \return whether another daemon's lease is open.
  bool hasLeases() const;

private:
  void begin(const http::Request &request, const http::Respond &respond);
  void run(const http::Request &request, const http::Respond &respond);
  void abandon(const http::Request &request, const http::Respond &respond);
  OnBatch makeResponder(ConnectionHandle connection,
                        std::shared_ptr<LeaseId> lease,
                        const http::Respond &respond);

  /// \return whether the connection's daemon was given the lease by this
  /// process. It may still name a lease of the process before on a new
  /// connection.
  bool isGivenTo(ConnectionHandle connection, const RemoteLeaseId &lease) const;

  Groups &Targets;
  ProcessId Self;
  std::map<ConnectionHandle, std::set<LeaseId>> Leases;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_RELAY_H
