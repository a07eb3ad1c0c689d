/// \file
/// Messages of the inner protocol: use of target connections held by another
/// daemon, and queries for its view of a primary.

#ifndef PERIDOTFALL_MESSAGES_LEASE_H
#define PERIDOTFALL_MESSAGES_LEASE_H

#include "peridotfall/result.h"
#include "proxy/directory.h"
#include "proxy/lease.h"
#include "proxy/write_hold.h"

#include <string>

namespace peridotfall::messages {

inline constexpr auto BeginLeasePath = "/inner/v1/lease/begin";
inline constexpr auto RunLeasePath = "/inner/v1/lease/run";
inline constexpr auto AbandonLeasePath = "/inner/v1/lease/abandon";
inline constexpr auto LeaderViewPath = "/inner/v1/lead-view";
/// A LeaderQuery that reports the group's primary as missing.
inline constexpr auto MissingPrimaryPath = "/inner/v1/missing-primary";
inline constexpr auto HoldWritesPath = "/inner/v1/hold-writes";
/// A HoldList in both directions.
inline constexpr auto HeldWritesPath = "/inner/v1/held-writes";

struct BeginLease {
  proxy::LeaseRequest Request;
  proxy::Batch First;
  /// False: from a daemon of an earlier version, which knows no accounts.
  bool NamesAccount = true;

  auto operator<=>(const BeginLease &) const = default;
};

struct RunLease {
  proxy::RemoteLeaseId Lease;
  proxy::Batch Next;

  auto operator<=>(const RunLease &) const = default;
};

struct AbandonLease {
  proxy::RemoteLeaseId Lease;

  auto operator<=>(const AbandonLease &) const = default;
};

/// Answer to BeginLease and RunLease.
struct LeaseAnswer {
  proxy::BatchResult Result;
  proxy::RemoteLeaseId Lease; ///< For the next RunLease, if kept.

  auto operator<=>(const LeaseAnswer &) const = default;
};

struct LeaderQuery {
  proxy::GroupName Group;

  auto operator<=>(const LeaderQuery &) const = default;
};

/// A daemon's report on whether it reaches a group's primary.
struct LeaderView {
  bool GroupKnown = false;       ///< The daemon knows the group.
  bool PrimaryReachable = false; ///< The primary answered it recently.

  auto operator<=>(const LeaderView &) const = default;
};

std::string encode(const BeginLease &it);
std::string encode(const RunLease &it);
std::string encode(const AbandonLease &it);
std::string encode(const LeaseAnswer &it);
std::string encode(const LeaderQuery &it);
std::string encode(const LeaderView &it);
std::string encode(const proxy::WriteHold &it);
std::string encode(const proxy::HoldList &it);

/// \return Invalid if the message is malformed or an enum value is unknown.
Result<BeginLease> decodeBeginLease(const std::string &bytes);
Result<RunLease> decodeRunLease(const std::string &bytes);
Result<AbandonLease> decodeAbandonLease(const std::string &bytes);
Result<LeaseAnswer> decodeLeaseAnswer(const std::string &bytes);
Result<LeaderQuery> decodeLeaderQuery(const std::string &bytes);
Result<LeaderView> decodeLeaderView(const std::string &bytes);
Result<proxy::WriteHold> decodeWriteHold(const std::string &bytes);
Result<proxy::HoldList> decodeHoldList(const std::string &bytes);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_LEASE_H
