#include "config/fan_out.h"
#include "config/relay_fake.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::fake;
using namespace std::chrono_literals;

namespace {

struct FanOutFixture {
  std::vector<Member> members(std::size_t count, std::size_t domains) {
    std::vector<Member> out;
    for (std::size_t n = 0; n < count; ++n) {
      Member it;
      it.Vm = VmName("vm-" + std::to_string(n));
      it.Domain = DomainName("d" + std::to_string(n % domains));
      out.push_back(it);
    }
    return out;
  }
};

} // namespace

TEST_CASE_FIXTURE(FanOutFixture,
                  "fan-out tree, any root, reaches each member once") {
  auto all = members(1'700, 7);
  for (int root : {0, 1, 777, 1'699}) {
    RelayTree tree{all[static_cast<std::size_t>(root)].Vm, false};
    auto order = buildRelayOrder(all, tree);
    std::set<VmName> reached{tree.Root};
    std::vector<VmName> next{tree.Root};
    while (!next.empty()) {
      auto vm = next.back();
      next.pop_back();
      auto children = childrenOf(order, tree, vm);
      CHECK(children.size() <= FanOut + 6);
      for (const auto &it : children) {
        CHECK(reached.insert(it.Vm).second);
        next.push_back(it.Vm);
      }
    }
    CHECK(reached.size() == all.size());
  }
}

TEST_CASE_FIXTURE(FanOutFixture,
                  "watchers, one leaves, are two of each domain") {
  auto all = members(30, 3);
  auto count = [&](const DomainName &domain) {
    return std::count_if(all.begin(), all.end(), [&](const Member &it) {
      return it.Domain == domain && !it.Leaving && isWatcher(all, it);
    });
  };
  CHECK(count(DomainName("d0")) == 2);
  for (auto &it : all)
    if (it.Domain == DomainName("d0") && isWatcher(all, it)) {
      it.Leaving = true;
      break;
    }
  CHECK(count(DomainName("d0")) == 2);
}

// All watchers but one are cut off from the platform, and 5% of the daemons
// have just failed, which no daemon knows yet. The change must be in force at
// all others within 2 s. Without relaying to the children of a dead node, those
// below it never receive the change.
TEST_CASE("relay, one watcher and 5% dead of 1,700, is in force within 2 s") {
  for (std::uint64_t seed : {1, 2, 3}) {
    RelayOptions options;
    options.Dead = 0.05;
    options.Seed = seed;
    options.Watchers = 1;
    options.Compare = false;
    auto kept = RelayRun(options).run();
    CHECK(kept.all());
    CHECK(kept.last() <= 2s);
    options.AdoptChildren = false;
    CHECK_FALSE(RelayRun(options).run().all());
  }
}
