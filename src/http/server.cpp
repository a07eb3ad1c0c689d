#include "http/server.h"

#include "http/server_connection.h"

#include <asio/post.hpp>
#include <charconv>
#include <utility>

namespace peridotfall::http {

using asio::ip::tcp;

std::optional<tcp::endpoint> parseEndpoint(const std::string &text) {
  auto colon = text.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  auto host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  std::error_code ec;
  auto address = asio::ip::make_address(host, ec);
  unsigned port = 0;
  const char *last = text.data() + text.size();
  auto [end, parseError] = std::from_chars(text.data() + colon + 1, last, port);
  constexpr unsigned MaxPort = 65'535;
  if (ec || parseError != std::errc() || end != last || port > MaxPort)
    return std::nullopt;
  return tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

Server::Server(Loops &loops, ServerOptions options, Handler handler)
    : Pool(loops), Options(std::move(options)), OnRequest(std::move(handler)) {}

std::error_code Server::start() {
  auto endpoint = parseEndpoint(Options.Address);
  if (!endpoint)
    return std::make_error_code(std::errc::invalid_argument);
  AcceptLoop = &Pool.at(0);
  auto acceptor = std::make_unique<tcp::acceptor>(*AcceptLoop);
  std::error_code ec;
  acceptor->open(endpoint->protocol(), ec);
  if (!ec)
    acceptor->set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    acceptor->bind(*endpoint, ec);
  if (!ec)
    acceptor->listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return ec;
  Port = acceptor->local_endpoint().port();
  Acceptor = std::move(acceptor);
  asio::post(*AcceptLoop, [self = shared_from_this()] { self->accept(); });
  return {};
}

void Server::accept() {
  if (!Acceptor || !Acceptor->is_open())
    return;
  auto &loop = Pool.next();
  Acceptor->async_accept(loop, [self = shared_from_this(),
                                &loop](std::error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted)
      return;
    if (!ec)
      self->addConnection(std::move(socket), loop);
    self->accept();
  });
}

void Server::addConnection(tcp::socket socket, asio::io_context &loop) {
  std::shared_ptr<ServerConnection> it;
  {
    std::lock_guard guard(Lock);
    ConnectionHandle handle{++LastConnection};
    it = std::make_shared<ServerConnection>(shared_from_this(), handle,
                                            std::move(socket), loop);
    Open[handle] = it;
  }
  asio::post(loop, [it] { it->start(); });
}

void Server::removeConnection(ConnectionHandle it) {
  std::lock_guard guard(Lock);
  Open.erase(it);
}

std::vector<std::shared_ptr<ServerConnection>> Server::openConnections() const {
  std::vector<std::shared_ptr<ServerConnection>> out;
  std::lock_guard guard(Lock);
  for (const auto &[handle, weak] : Open)
    if (auto it = weak.lock())
      out.push_back(std::move(it));
  return out;
}

void Server::drain() {
  asio::post(*AcceptLoop, [self = shared_from_this()] {
    std::error_code ec;
    if (self->Acceptor)
      self->Acceptor->close(ec);
  });
  for (auto &it : openConnections())
    it->drain();
}

void Server::stop() {
  if (!AcceptLoop)
    return;
  drain();
  for (auto &it : openConnections())
    it->stop();
}

std::size_t Server::connections() const {
  std::lock_guard guard(Lock);
  return Open.size();
}

} // namespace peridotfall::http
