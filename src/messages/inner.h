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
inline constexpr auto NewsPath = "/inner/v1/news";
inline constexpr auto MembersPath = "/inner/v1/members";
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

/// A probe, a comparison or an announcement; the answer is one too.
struct News {
  MemberRecord From;
  std::uint64_t Revision = 0; ///< Of the configuration; 0: none in force.
  std::uint64_t ListStamp = 0;
  std::uint64_t ListDigest = 0;
  std::vector<MemberRecord> Members;
  std::uint64_t TreeId = 0; ///< 0: not to be passed on.
  Tree Along;
  std::string Holder; ///< Address to fetch from; empty: of the sender.

  auto operator<=>(const News &) const = default;
};

std::string encode(const News &it);
Result<News> decodeNews(const std::string &bytes);

/// The list of VMs in force at a daemon.
struct VmList {
  std::uint64_t Stamp = 0;
  std::vector<Member> Members;

  auto operator<=>(const VmList &) const = default;
};

std::string encode(const VmList &it);
Result<VmList> decodeVmList(const std::string &bytes);

std::string encode(const Configuration &it);
/// \return Invalid where it is not a configuration that this version knows.
Result<Configuration> decodeConfiguration(const std::string &bytes);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_INNER_H
