/// \file
/// Who is alive, and which daemon owns the connections of a target.

#ifndef PERIDOTFALL_MEMBERSHIP_H
#define PERIDOTFALL_MEMBERSHIP_H

#include "peridotfall/clock.h"
#include "peridotfall/names.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridotfall {

/// One entry VM, as the membership knows it.
struct Member {
  VmName Vm;
  DomainName Domain;
  RegionName Region;
  std::string InnerAddress; ///< IP number and port for other daemons.
  /// Grows with each start, so that a VM replaced on an old address is not
  /// taken for its forerunner.
  std::uint64_t Incarnation = 0;
  bool Leaving = false;
  /// A VM of a target, which the platform lists too; it runs no daemon.
  bool ServesTarget = false;
  /// Megabits a second of the VM's link; 0: not known.
  std::uint32_t LinkMbps = 0;

  auto operator<=>(const Member &) const = default;
};

/// The daemons by rank for a target: rendezvous hashing over the live members
/// of its failure domain, then of its region, then all others. Rank 0 owns
/// the target; the next step in when it fails.
std::vector<Member> rankOwners(const std::vector<Member> &members,
                               const TargetName &target,
                               const DomainName &domain,
                               const RegionName &region);

/// What is known of a daemon. Of two records of one VM the higher
/// (Incarnation, Version) holds; at equal ones the suspicions are united.
struct MemberRecord {
  Member It;
  /// Raised by the member itself to refute a suspicion or to say that it
  /// leaves.
  std::uint64_t Version = 0;
  /// Daemons that could not reach it at this incarnation and version.
  std::set<VmName> Suspecting;

  auto operator<=>(const MemberRecord &) const = default;
};

struct MembershipOptions {
  /// Time between two probes of one member. Load: 1,700 daemons; each probes
  /// and is probed by about four, a few KB a second. Harm: all probing all
  /// are 2.9 million probes a second.
  Duration ProbePeriod = std::chrono::seconds(1);
  /// Time until a probe that failed is made again.
  Duration RetryPause = std::chrono::milliseconds(200);
  /// A pause or loss of a second must not move ownership; two misses in a row
  /// are more than one lost packet.
  unsigned MissesToSuspect = 2;
  /// One daemon with a broken link must not remove others from everyone's
  /// view; a daemon believes itself, or two others.
  unsigned ReportersToSuspect = 2;
  /// Successors probed, on the ring of the own failure domain and of all.
  std::size_t DomainNeighbours = 2;
  std::size_t FleetNeighbours = 1;
  /// Up to so many members each daemon probes all of them.
  std::size_t SmallFleet = 9;
  /// Time between comparisons with a random member.
  Duration ComparePeriod = std::chrono::seconds(2);
  /// How far the platform's list lags at most: one that lacks a daemon heard
  /// of this recently does not remove it.
  Duration ListLag = std::chrono::seconds(30);
  /// How long a change is told to whoever one speaks with.
  Duration NewsAge = std::chrono::seconds(10);
};

/// Who is alive, as one daemon sees it: the platform's lagging list corrected
/// by probes and by what others tell. Decides only; sends nothing.
class Membership {
public:
  Membership(Member self, MembershipOptions options, std::uint64_t seed);

  /// Takes the platform's list.
  void takeList(const std::vector<Member> &list, TimePoint now);
  /// \return whom to probe now. Each is answered by takeAnswer or takeMiss.
  std::vector<Member> probesDue(TimePoint now);
  /// \param asked whom the probe was for. \param answered who answered.
  void takeAnswer(const Member &asked, const MemberRecord &answered,
                  TimePoint now);
  void takeMiss(const Member &asked, TimePoint now);
  /// Takes what a daemon says of itself, heard without a probe.
  void takeContact(const MemberRecord &from, TimePoint now);
  /// Takes what another tells of third members.
  void takeNews(const std::vector<MemberRecord> &records, TimePoint now);
  /// From now on this daemon owns nothing.
  void leave(TimePoint now);
  /// Raises this daemon's incarnation: the clock that it was drawn from had
  /// gone back, and others would take it for its forerunner.
  void raiseIncarnation(std::uint64_t incarnation);
  /// Once the daemon listens: the address that others reach it by.
  void setOwnAddress(std::string address);

  /// \return this daemon and all it holds alive, leaving ones included.
  std::vector<Member> live() const;
  /// \return all it knows of, suspected ones included.
  std::vector<Member> known() const;
  MemberRecord self() const;
  std::optional<Member> findMember(const VmName &vm) const;
  bool isSuspected(const VmName &vm) const;
  /// \return the records that changed lately, newest first, at most \p most.
  std::vector<MemberRecord> recent(TimePoint now, std::size_t most) const;
  /// \return what it knows of one daemon, to be told to that daemon.
  std::vector<MemberRecord> about(const VmName &vm) const;
  /// \return what this daemon itself observed and nobody was told yet.
  std::vector<MemberRecord> takeObserved();
  /// Changes whenever live() does.
  std::uint64_t generation() const { return Generation; }

private:
  struct Entry {
    MemberRecord Record;
    unsigned Misses = 0;
    bool InFlight = false;
    TimePoint NextProbe;
    TimePoint FirstHeard;
    TimePoint ChangedAt;
    bool ListLeaving = false; ///< By the platform's list.
    std::string ListAddress;
  };

  static Member effective(const Entry &it);
  bool suspected(const MemberRecord &it) const;
  void takeListed(Entry &entry, const Member &listed, TimePoint now);
  Entry *find(const VmName &vm);
  void merge(const MemberRecord &record, TimePoint now);
  void observed(Entry &it, TimePoint now);
  void changed(Entry &it, TimePoint now);
  void refute(std::uint64_t version, TimePoint now);
  std::set<VmName> neighbours();

  MembershipOptions Options;
  std::mt19937_64 Random;
  VmName Self;
  std::map<VmName, Entry> Entries;
  std::vector<MemberRecord> Observed;
  std::uint64_t Generation = 1;
  std::uint64_t NeighboursOf = 0; ///< Generation the ring was computed for.
  std::set<VmName> Neighbours;
  TimePoint NextCompare{};
};

} // namespace peridotfall

#endif // PERIDOTFALL_MEMBERSHIP_H
