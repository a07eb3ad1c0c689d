/// \file
/// The inner protocol: typed messages between daemons, as protobuf in the
/// bodies of HTTP/2 requests.

#ifndef PERIDOTFALL_MESSAGES_INNER_H
#define PERIDOTFALL_MESSAGES_INNER_H

#include "messages/inner.pb.h"
#include "peridotfall/membership.h"
#include "peridotfall/result.h"
#include "peridotfall/statement.h"

#include <string>

namespace peridotfall::messages {

inline constexpr auto StatementPath = "/inner/v1/statement";
inline constexpr auto PeerPath = "/inner/v1/peer";
inline constexpr auto ConfigurationPath = "/inner/v1/configuration";
inline constexpr auto GroupViewPath = "/inner/v1/group-view";

std::string encode(const StatementRequest &it);
std::string encode(const StatementAnswer &it);

/// \return Invalid where the bytes or a number of an enumeration are not of
/// this protocol.
Result<StatementRequest> decodeStatementRequest(const std::string &bytes);
Result<StatementAnswer> decodeStatementAnswer(const std::string &bytes);

/// What a daemon says of itself.
struct PeerInfo {
  Member Self;
  std::uint64_t Revision = 0; ///< Of the configuration in force there.

  auto operator<=>(const PeerInfo &) const = default;
};

std::string encode(const PeerInfo &it);
Result<PeerInfo> decodePeerInfo(const std::string &bytes);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_INNER_H
