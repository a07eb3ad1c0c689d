/// \file
/// Messages of the inner protocol: use of target connections held by another
/// daemon, and queries for its view of a primary.

#ifndef PERIDOTFALL_MESSAGES_LEASE_H
#define PERIDOTFALL_MESSAGES_LEASE_H

#include "peridotfall/result.h"
#include "proxy/directory.h"
#include "proxy/lease.h"

#include <string>

namespace peridotfall::messages {

inline constexpr auto BeginLeasePath = "/inner/v1/lease/begin";
inline constexpr auto RunLeasePath = "/inner/v1/lease/run";
inline constexpr auto AbandonLeasePath = "/inner/v1/lease/abandon";
inline constexpr auto LeadViewPath = "/inner/v1/lead-view";

struct BeginLease {
  proxy::LeaseRequest Request;
  proxy::Batch First;

  auto operator<=>(const BeginLease &) const = default;
};

struct RunLease {
  proxy::LeaseId Lease;
  proxy::Batch Next;

  auto operator<=>(const RunLease &) const = default;
};

struct AbandonLease {
  proxy::LeaseId Lease;

  auto operator<=>(const AbandonLease &) const = default;
};

/// Answer to BeginLease and RunLease.
struct LeaseAnswer {
  proxy::BatchResult Result;
  proxy::LeaseId Lease; ///< For the next RunLease, if kept.

  auto operator<=>(const LeaseAnswer &) const = default;
};

struct LeadQuestion {
  proxy::GroupName Group;

  auto operator<=>(const LeadQuestion &) const = default;
};

/// A daemon's report on whether it reaches a group's primary.
struct LeadView {
  bool Known = false;   ///< The daemon knows the group.
  bool Reaches = false; ///< The primary answered it recently.

  auto operator<=>(const LeadView &) const = default;
};

std::string encode(const BeginLease &it);
std::string encode(const RunLease &it);
std::string encode(const AbandonLease &it);
std::string encode(const LeaseAnswer &it);
std::string encode(const LeadQuestion &it);
std::string encode(const LeadView &it);

/// \return Invalid if the message is malformed or an enum value is unknown.
Result<BeginLease> decodeBeginLease(const std::string &bytes);
Result<RunLease> decodeRunLease(const std::string &bytes);
Result<AbandonLease> decodeAbandonLease(const std::string &bytes);
Result<LeaseAnswer> decodeLeaseAnswer(const std::string &bytes);
Result<LeadQuestion> decodeLeadQuestion(const std::string &bytes);
Result<LeadView> decodeLeadView(const std::string &bytes);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_LEASE_H
