/// \file
/// The inner protocol: typed messages between daemons, as protobuf in the
/// bodies of HTTP/2 requests.

#ifndef PERIDOTFALL_MESSAGES_INNER_H
#define PERIDOTFALL_MESSAGES_INNER_H

#include "config/fan_out.h"
#include "messages/inner.pb.h"
#include "peridotfall/configuration.h"
#include "peridotfall/membership.h"
#include "peridotfall/result.h"
#include "peridotfall/statement.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotfall::messages {

inline constexpr auto StatementPath = "/inner/v1/statement";
inline constexpr auto PeerPath = "/inner/v1/peer";
inline constexpr auto ConfigurationPath = "/inner/v1/configuration";
inline constexpr auto GossipPath = "/inner/v1/news";
inline constexpr auto MembersPath = "/inner/v1/members";
inline constexpr auto GroupViewPath = "/inner/v1/group-view";

std::string encode(const StatementRequest &it);
std::string encode(const StatementAnswer &it);

/// \return Invalid if the message is malformed or an enum value is unknown.
Result<StatementRequest> decodeStatementRequest(const std::string &bytes);
Result<StatementAnswer> decodeStatementAnswer(const std::string &bytes);

/// A daemon's own state.
struct PeerInfo {
  Member Self;
  std::uint64_t Revision = 0; ///< Of its configuration.

  auto operator<=>(const PeerInfo &) const = default;
};

std::string encode(const PeerInfo &it);
Result<PeerInfo> decodePeerInfo(const std::string &bytes);

/// A membership update: a probe, a comparison or an announcement. The answer
/// has the same type.
struct GossipMessage {
  MemberRecord From;
  std::uint64_t Revision = 0; ///< Of the configuration; 0: none in force.
  std::uint64_t ListStamp = 0;
  std::uint64_t ListDigest = 0;
  std::vector<MemberRecord> Members;
  std::uint64_t TreeId = 0; ///< 0: not relayed.
  RelayTree ForwardTree;
  std::string FetchAddress; ///< Address to fetch from; empty: the sender's.

  auto operator<=>(const GossipMessage &) const = default;
};

std::string encode(const GossipMessage &it);
Result<GossipMessage> decodeGossip(const std::string &bytes);

/// The list of VMs in force at a daemon.
struct VmList {
  std::uint64_t Stamp = 0;
  std::vector<Member> Members;

  auto operator<=>(const VmList &) const = default;
};

std::string encode(const VmList &it);
Result<VmList> decodeVmList(const std::string &bytes);

std::string encode(const Configuration &it);
/// \return Invalid if this version can't parse the configuration.
Result<Configuration> decodeConfiguration(const std::string &bytes);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_INNER_H
