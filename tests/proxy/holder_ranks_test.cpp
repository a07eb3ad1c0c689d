#include "proxy/holder_ranks.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <string>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

constexpr std::size_t Holders = 4;

Member daemon(std::size_t n) {
  Member it;
  it.Vm = VmName("vm-" + std::to_string(n));
  auto domain = n % 6;
  it.Domain = DomainName("domain-" + std::to_string(domain));
  it.Region = RegionName("region-" + std::to_string(domain % 2));
  return it;
}

struct RanksFixture {
  HolderRanks Ranks;
  std::vector<Member> Live;
  TargetList Targets;

  void start(std::size_t daemons, std::size_t targets) {
    for (std::size_t n = 0; n < daemons; ++n)
      Live.push_back(daemon(n));
    for (std::size_t n = 0; n < targets; ++n) {
      TargetEntry it;
      it.Name = TargetName("target-" + std::to_string(n));
      auto place = daemon(n);
      it.Domain = place.Domain;
      it.Region = place.Region;
      Targets[it.Name] = it;
    }
    update();
  }

  /// Applies Live and ranks as the daemon does after each change.
  void update() {
    Ranks.setMembers(Live);
    for (const auto &[name, it] : Targets)
      Ranks.first(it, Holders);
  }

  /// \return the holders by a full ranking of all members.
  std::vector<VmName> expected(const TargetEntry &target) const {
    std::vector<VmName> out;
    for (const auto &it :
         rankOwners(Live, target.Name, target.Domain, target.Region))
      if (out.size() < Holders)
        out.push_back(it.Vm);
    return out;
  }

  void checkAll() {
    for (const auto &[name, it] : Targets)
      CHECK(Ranks.first(it, Holders) == expected(it));
  }
};

} // namespace

// Guards against daemons that disagree on the holders of a target, depending on
// the order in which they learned of the others.
TEST_CASE_FIXTURE(RanksFixture,
                  "holder ranks, members come, go and move, equal a full "
                  "ranking") {
  start(40, 12);
  std::mt19937_64 random(1);
  for (int n = 0; n < 400; ++n) {
    auto at = std::uniform_int_distribution<std::size_t>(0, 39)(random);
    auto changed = daemon(at);
    auto it = std::find_if(Live.begin(), Live.end(),
                           [&](const Member &m) { return m.Vm == changed.Vm; });
    if (it == Live.end())
      Live.push_back(changed);
    else if (n % 3 == 0)
      it->Leaving = !it->Leaving;
    else if (n % 3 == 1)
      it->Domain = daemon(at + 1).Domain;
    else
      Live.erase(it);
    Ranks.setMembers(Live);
    checkAll();
  }
}

TEST_CASE_FIXTURE(RanksFixture,
                  "holder ranks, fewer daemons than holders, take all") {
  start(2, 3);
  checkAll();
  Live.clear();
  Ranks.setMembers(Live);
  checkAll();
  CHECK(Ranks.eligible() == 0);
}

TEST_CASE_FIXTURE(RanksFixture,
                  "holder ranks, target moves, ranks for its new place") {
  start(30, 1);
  auto &target = Targets.begin()->second;
  target.Domain = daemon(3).Domain;
  target.Region = daemon(3).Region;
  checkAll();
}

// Guards against daemons that fall behind while all restart one after the
// other: each restart is two changes at every daemon, which must not rank all
// members for all targets.
TEST_CASE_FIXTURE(RanksFixture,
                  "holder ranks, all of 295 daemons restart in turn, rank what "
                  "each change touches") {
  constexpr std::size_t Daemons = 295;
  constexpr std::size_t DatabaseTargets = 60;
  start(Daemons, DatabaseTargets);
  auto before = Ranks.computedRanks();
  for (auto &it : Live) {
    it.Leaving = true;
    update();
    it.Leaving = false;
    update();
  }
  auto computed = Ranks.computedRanks() - before;
  // Each holder that leaves has one target ranked anew, each daemon that comes
  // is ranked once for each target.
  CHECK(computed <=
        DatabaseTargets * Holders * Daemons + Daemons * DatabaseTargets);
}

// Guards against work in proportion to members times targets: while a fleet
// starts, each daemon learns of all others one by one, and it uses few of the
// targets meanwhile.
TEST_CASE_FIXTURE(RanksFixture,
                  "holder ranks, fleet starts one by one, rank the targets in "
                  "use only") {
  constexpr std::size_t InUse = 10;
  for (std::size_t daemons : {30, 100, 300, 1'000}) {
    HolderRanks ranks;
    Live.clear();
    Targets.clear();
    start(0, 3 * daemons);
    for (std::size_t n = 0; n < daemons; ++n) {
      Live.push_back(daemon(n));
      ranks.setMembers(Live);
      std::size_t used = 0;
      for (const auto &[name, it] : Targets)
        if (used++ < InUse)
          ranks.first(it, Holders);
    }
    // Each daemon is ranked once for each target in use, and once more where
    // the first of a failure domain make a ranking of all others void.
    CHECK(ranks.computedRanks() <= 2 * InUse * daemons);
    std::size_t checked = 0;
    for (const auto &[name, it] : Targets)
      if (checked++ < InUse)
        CHECK(ranks.first(it, Holders) == expected(it));
  }
}

// Guards against ranks that are wrong once more changes have come than are
// kept.
TEST_CASE_FIXTURE(RanksFixture,
                  "holder ranks, target not used while all members change, "
                  "equal a full ranking") {
  start(12, 4);
  for (std::size_t n = 0; n < 12; ++n) {
    Live[n] = daemon(n + 12);
    Ranks.setMembers(Live);
  }
  checkAll();
}
