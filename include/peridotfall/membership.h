/// \file
/// Membership of the daemons, and ownership of the targets' connections.

#ifndef PERIDOTFALL_MEMBERSHIP_H
#define PERIDOTFALL_MEMBERSHIP_H

#include "peridotfall/clock.h"
#include "peridotfall/names.h"

#include <compare>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace peridotfall {

/// A VM that the membership knows of.
struct Member {
  VmName Vm;
  DomainName Domain;
  RegionName Region;
  std::string InnerAddress; ///< IP address and port for other daemons.
  /// Increases with each start. Tells a VM from its predecessor at the same
  /// address.
  std::uint64_t Incarnation = 0;
  bool Leaving = false;
  /// The VM runs a target and no daemon; the platform lists these too.
  bool ServesTarget = false;
  /// Bandwidth of the VM's link in Mbit/s; 0: unknown.
  std::uint32_t LinkMbps = 0;

  auto operator<=>(const Member &) const = default;
};

/// Place of a daemon among the possible owners of a target; the least is first.
struct OwnerRank {
  int Distance = 0; ///< 0: same failure domain, 1: same region, 2: elsewhere.
  std::uint64_t Hash = 0;
  VmName Vm;

  auto operator<=>(const OwnerRank &) const = default;
};

/// \return the daemon's place; empty if it may own no target.
std::optional<OwnerRank> ownerRank(const Member &member,
                                   const TargetName &target,
                                   const DomainName &domain,
                                   const RegionName &region);

/// Ranks the daemons for a target by rendezvous hashing: first the members of
/// its failure domain, then of its region, then all others. The first one owns
/// the target; the next takes over when it fails.
std::vector<Member> rankOwners(const std::vector<Member> &members,
                               const TargetName &target,
                               const DomainName &domain,
                               const RegionName &region);

/// The state known of a daemon. Of two records of one VM the one with the
/// higher (Incarnation, Version) wins; if these are equal, the sets of
/// suspecting daemons are merged.
struct MemberRecord {
  Member Info;
  /// Incremented by the member itself to refute a suspicion or to announce
  /// that it leaves.
  std::uint64_t Version = 0;
  /// Daemons that could not reach it at this incarnation and version.
  std::set<VmName> Suspecting;

  auto operator<=>(const MemberRecord &) const = default;
};

struct MembershipOptions {
  /// Time between two probes of one member. With 1,700 daemons each probes
  /// about four others and is probed by about four, a few KB/s. If all probed
  /// all, this would be 2.9 million probes per second.
  Duration ProbePeriod = std::chrono::seconds(1);
  /// Time until a failed probe is retried.
  Duration RetryPause = std::chrono::milliseconds(200);
  /// Consecutive failed probes after which a member is suspected. One lost
  /// packet, or a pause of a second, must not move ownership.
  unsigned MissesToSuspect = 2;
  /// Reports by others after which a member is suspected; a daemon's own
  /// failed probes suffice alone. A single daemon with a broken link must not
  /// remove others from everyone's view.
  unsigned ReportersToSuspect = 2;
  /// Successors to probe on the hash ring of the daemon's failure domain, and
  /// on that of all members.
  std::size_t DomainNeighbours = 2;
  std::size_t FleetNeighbours = 1;
  /// Up to this many members, each daemon probes all others.
  std::size_t SmallFleet = 9;
  /// Time between exchanges of state with a random member.
  Duration ComparePeriod = std::chrono::seconds(2);
  /// Maximum lag of the platform's list. A daemon that was first heard of more
  /// recently than this is kept although the list lacks it.
  Duration ListLag = std::chrono::seconds(30);
  /// How long a changed record is sent with each message to another daemon.
  Duration GossipAge = std::chrono::seconds(10);
};

/// The live members as seen by one daemon: the platform's list, which lags,
/// corrected by probes and by gossip. Contains the decisions only; the caller
/// sends the messages.
class Membership {
public:
  Membership(Member self, MembershipOptions options, std::uint64_t seed);
  // Entries hold iterators.
  Membership(const Membership &) = delete;
  Membership &operator=(const Membership &) = delete;

  /// Merges the platform's list.
  void updateList(const std::vector<Member> &list, TimePoint now);
  /// \return the members to probe now. The result of each probe is reported
  /// by handleAnswer or handleMiss.
  std::vector<Member> probesDue(TimePoint now);
  /// \param asked the probed member. \param answered the daemon that answered,
  /// which differs if a VM was replaced.
  void handleAnswer(const Member &asked, const MemberRecord &answered,
                    TimePoint now);
  void handleMiss(const Member &asked, TimePoint now);
  /// Merges a daemon's own record, received without a probe.
  void handleContact(const MemberRecord &from, TimePoint now);
  /// Merges the records of other members that a daemon sent.
  void handleGossip(const std::vector<MemberRecord> &records, TimePoint now);
  /// Marks this daemon as leaving: from now on it owns no targets.
  void leave(TimePoint now);
  /// Raises this daemon's incarnation, which comes from the clock. If the clock
  /// was set back between two starts, others would mistake this daemon for its
  /// predecessor.
  void raiseIncarnation(std::uint64_t incarnation);
  /// Sets this daemon's address, known once it listens.
  void setOwnAddress(std::string address);

  /// \return this daemon and all that aren't suspected, leaving ones included.
  std::vector<Member> live() const;
  /// \return all known members, suspected ones included.
  std::vector<Member> known() const;
  MemberRecord self() const;
  std::optional<Member> findMember(const VmName &vm) const;
  bool isSuspected(const VmName &vm) const;
  /// \return the recently changed records, newest first.
  std::vector<MemberRecord> recentChanges(TimePoint now,
                                          std::size_t maxRecords) const;
  /// \return the record of a daemon that any daemon suspects, to be sent to it
  /// so that it can refute the suspicion; empty if no daemon suspects it.
  std::vector<MemberRecord> recordsAbout(const VmName &vm) const;
  /// \return this daemon's own observations since the last call, to be
  /// announced to others.
  std::vector<MemberRecord> takeObserved();
  /// Changes whenever the result of live() or known() has changed. A change of
  /// a record that leaves both as they are, such as one more daemon that
  /// suspects a member, does not count: in a fleet that starts or is cut, these
  /// are most changes.
  std::uint64_t generation() const { return Generation; }

private:
  struct Entry {
    MemberRecord Record;
    unsigned Misses = 0;
    bool InFlight = false;
    TimePoint NextProbe;
    TimePoint FirstSeen;
    TimePoint ChangedAt;
    std::list<VmName>::iterator Recent; ///< In RecentlyChanged, if InRecent.
    bool InRecent = false;
    bool ListLeaving = false; ///< According to the platform's list.
    std::string ListAddress;
    std::uint64_t RingHash = 0; ///< Place on the hash rings; 0: not computed.
    /// The state that Generation covers.
    std::optional<std::pair<bool, Member>> Counted;
  };

  static Member effective(const Entry &it);
  static std::uint64_t ringHash(Entry &it);
  bool isSuspect(const MemberRecord &it) const;
  void updateListed(Entry &entry, const Member &listed, TimePoint now);
  Entry *find(const VmName &vm);
  void merge(const MemberRecord &record, TimePoint now);
  void recordObserved(Entry &it, TimePoint now);
  void markChanged(Entry &it, TimePoint now);
  /// Raises Generation if the entry's part of live() or known() has changed.
  void countChange(Entry &it);
  bool isOnRing(const MemberRecord &it) const;
  std::vector<VmName> successors(bool domainOnly, std::size_t count);
  void refute(std::uint64_t version, TimePoint now);
  const std::set<VmName> &neighbours();

  MembershipOptions Options;
  std::mt19937_64 Random;
  VmName Self;
  std::map<VmName, Entry> Entries;
  /// Members by the time of their last change, newest first.
  std::list<VmName> RecentlyChanged;
  std::vector<MemberRecord> Observed;
  std::uint64_t Generation = 1;
  std::uint64_t NeighboursGeneration = 0; ///< At which Neighbours was computed.
  std::set<VmName> Neighbours;
  TimePoint NextCompare{};
};

} // namespace peridotfall

#endif // PERIDOTFALL_MEMBERSHIP_H
