#include "quota/share_delegation.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <random>
#include <string>

using namespace peridotfall;
using namespace peridotfall::quota;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t Part = 3;
constexpr milliseconds Step{250};

/// Daemons of which the first \p Counters also count, with messages that are
/// delivered at any time, repeatedly or never.
struct Network {
  struct Report {
    std::size_t From, To;
    messages::Delegation Content;
  };
  struct Answer {
    std::size_t From, To;
    messages::UseAnswer Content;
  };

  ManualClock Time;
  std::size_t Counters;
  std::uint64_t Incarnation = 1;
  std::vector<ShareOwner> Owners;
  std::vector<ShareCounter> Holders;
  std::vector<std::uint64_t> Incarnations;
  std::deque<Report> Reports;
  std::deque<Answer> Answers;

  Network(std::size_t daemons, std::size_t counters) : Counters(counters) {
    for (std::size_t n = 0; n < daemons; ++n) {
      Owners.emplace_back(vm(n), Time.now());
      Holders.emplace_back(1);
      Holders.back().setDaemons(static_cast<std::uint32_t>(daemons));
      Incarnations.push_back(1);
    }
  }
  static VmName vm(std::size_t n) { return VmName("vm-" + std::to_string(n)); }

  void send(std::size_t from, std::size_t to, bool releases) {
    if (from == to) {
      use(from);
      return;
    }
    messages::Delegation it;
    auto now = Time.now();
    std::vector<std::uint32_t> wanted;
    if (!releases)
      wanted.push_back(Part);
    it.Vm = vm(from);
    it.Daemons = static_cast<std::uint32_t>(Owners.size());
    it.LastChallenge = Owners[from].lastChallenge(vm(to));
    it.Released = Owners[from].releasable(vm(to), wanted, now);
    it.Partitions = Owners[from].delegate(vm(to), wanted, now);
    for (auto part : it.Partitions)
      Holders[from].drop(vm(from), part);
    Reports.push_back({from, to, it});
  }
  void use(std::size_t n) {
    if (Owners[n].useHere(Part, Time.now()))
      Holders[n].holdOwn(vm(n), Part, Time.now());
  }
  void deliverReport(std::size_t n) {
    auto it = Reports[n];
    messages::UseAnswer answer;
    answer.Released = Holders[it.To].handle(it.Content, Time.now());
    answer.Next = Holders[it.To].issueChallenge(Time.now());
    Answers.push_back({it.To, it.From, answer});
  }
  void deliverAnswer(std::size_t n) {
    auto it = Answers[n];
    Owners[it.To].handleAnswer(vm(it.From), it.Content, Time.now());
  }
  /// The process of a daemon is replaced within a moment.
  void restart(std::size_t n) {
    Holders[n] = ShareCounter(++Incarnation);
    Holders[n].setDaemons(static_cast<std::uint32_t>(Owners.size()));
    Owners[n] = ShareOwner(vm(n), Time.now() + limits::DelegationTime);
    Incarnations[n] = Incarnation;
  }
  double sum() {
    double out = 0;
    for (auto &it : Holders) {
      auto shares = it.shares(Part, Time.now(), Time.now());
      out += shares.Now;
    }
    return out;
  }
  /// A report from a daemon to a counter and its answer, without delay.
  void exchange(std::size_t from, std::size_t to, bool releases = false) {
    send(from, to, releases);
    deliverReport(Reports.size() - 1);
    deliverAnswer(Answers.size() - 1);
  }
};

/// One step that the network may take.
using Action = std::function<void(Network &)>;

std::vector<Action> actions(const Network &it) {
  std::vector<Action> out;
  for (std::size_t n = 0; n < it.Owners.size(); ++n) {
    out.push_back([n](Network &net) { net.use(n); });
    for (std::size_t to = 0; to < it.Counters; ++to) {
      if (n == to)
        continue;
      for (bool releases : {false, true})
        out.push_back([=](Network &net) { net.send(n, to, releases); });
    }
  }
  for (std::size_t n = 0; n < it.Counters; ++n)
    out.push_back([n](Network &net) { net.restart(n); });
  // Messages stay, so that they may arrive late and repeatedly.
  for (std::size_t n = 0; n < it.Reports.size(); ++n)
    out.push_back([n](Network &net) { net.deliverReport(n); });
  for (std::size_t n = 0; n < it.Answers.size(); ++n)
    out.push_back([n](Network &net) { net.deliverAnswer(n); });
  out.push_back([](Network &net) { net.Time.advance(milliseconds(1)); });
  out.push_back([](Network &net) { net.Time.advance(milliseconds(600)); });
  return out;
}

/// Takes all sequences of steps from a state.
/// \return the largest sum of shares that any state has.
double search(const Network &from, int depth, std::size_t &states) {
  ++states;
  auto most = Network(from).sum();
  if (depth == 0)
    return most;
  for (const auto &act : actions(from)) {
    auto next = from;
    act(next);
    most = std::max(most, search(next, depth - 1, states));
  }
  return most;
}

struct DelegatedShare {
  Network Net{3, 2};
  DelegatedShare() {
    for (int n = 0; n < 2; ++n)
      for (std::size_t from : {0, 1, 2})
        for (std::size_t to : {0, 1})
          if (from != to && (n == 0 || to == (from == 1 ? 0u : 1u))) {
            Net.exchange(from, to, n == 0);
            Net.Time.advance(milliseconds(1));
          }
  }
  HeldShares at(std::size_t n) {
    return Net.Holders[n].shares(Part, Net.Time.now(), Net.Time.now());
  }
};

} // namespace

// Guards against any order of loss, delay, repetition, restart and time in
// which the counters together hold more than the whole limit.
TEST_CASE("small fleet, all sequences of steps, shares sum to at most one") {
  std::size_t states = 0;
  CHECK(search(Network(3, 2), 4, states) <= 1 + 1e-9);
  // From the states that such short sequences don't reach: delegated, with
  // earlier messages still under way.
  DelegatedShare delegated;
  CHECK(search(delegated.Net, 3, states) <= 1 + 1e-9);
  auto half = delegated.Net;
  half.Time.advance(milliseconds(900));
  CHECK(search(half, 3, states) <= 1 + 1e-9);
  CAPTURE(states);
  CHECK(states > 10'000);
}

TEST_CASE("small fleet, random sequences of steps, shares sum to at most one") {
  for (std::uint32_t seed = 0; seed < 300; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Network net(3, 2);
    double most = 0;
    for (int n = 0; n < 400; ++n) {
      auto all = actions(net);
      all[random() % all.size()](net);
      while (net.Reports.size() > 12)
        net.Reports.pop_front();
      while (net.Answers.size() > 12)
        net.Answers.pop_front();
      most = std::max(most, net.sum());
    }
    CHECK(most <= 1 + 1e-9);
  }
}

// Guards against a fleet in which nobody may grant anything.
TEST_CASE_FIXTURE(DelegatedShare, "shares delegated and renewed, all of them "
                                  "are held") {
  for (int n = 0; n < 40; ++n, Net.Time.advance(Step)) {
    Net.exchange(0, 1);
    Net.exchange(1, 0);
    Net.exchange(2, 1);
  }
  CHECK(at(0).Now + at(1).Now == doctest::Approx(1));
}

// Guards against a share that two counters use because an answer was long
// under way.
TEST_CASE_FIXTURE(DelegatedShare, "challenge received late, share is free only "
                                  "after the counter's delegation has ended") {
  Net.send(2, 1, false);
  Net.deliverReport(Net.Reports.size() - 1);
  Net.Time.advance(milliseconds(400));
  Net.deliverAnswer(Net.Answers.size() - 1);
  Net.send(2, 1, false);
  Net.deliverReport(Net.Reports.size() - 1);
  Net.Time.advance(milliseconds(599));
  CHECK(at(1).Now > 0);
  CHECK_FALSE(Net.Owners[2].useHere(Part, Net.Time.now()));
  Net.Time.advance(milliseconds(2));
  CHECK(at(1).Now == 0);
  CHECK_FALSE(Net.Owners[2].useHere(Part, Net.Time.now()));
  Net.Time.advance(milliseconds(400));
  CHECK(Net.Owners[2].useHere(Part, Net.Time.now()));
}

TEST_CASE_FIXTURE(DelegatedShare, "release confirmed, share is free at once") {
  CHECK_FALSE(Net.Owners[2].useHere(Part, Net.Time.now()));
  Net.exchange(2, 1, true);
  CHECK(Net.Owners[2].useHere(Part, Net.Time.now()));
}

// Guards against a report that was sent before a release and arrives after it.
TEST_CASE_FIXTURE(DelegatedShare,
                  "report arrives after a release, it delegates "
                  "nothing") {
  auto before = at(1).Now;
  Net.send(2, 1, false);
  auto late = Net.Reports.size() - 1;
  Net.exchange(2, 1, true);
  CHECK(at(1).Now < before);
  auto released = at(1).Now;
  Net.deliverReport(late);
  CHECK(at(1).Now == released);
}

// Guards against a confirmation of an earlier release that frees a share which
// has been delegated again.
TEST_CASE_FIXTURE(DelegatedShare, "confirmation arrives after another "
                                  "delegation, share stays delegated") {
  Net.exchange(2, 1, true);
  auto late = Net.Answers.size() - 1;
  Net.Time.advance(milliseconds(1));
  Net.exchange(2, 1);
  Net.exchange(2, 1);
  Net.deliverAnswer(late);
  CHECK(at(1).Now > 0);
  CHECK_FALSE(Net.Owners[2].useHere(Part, Net.Time.now()));
}

TEST_CASE_FIXTURE(DelegatedShare, "counter restarts, its answer ends the "
                                  "delegations to its predecessor") {
  Net.restart(1);
  CHECK_FALSE(Net.Owners[2].useHere(Part, Net.Time.now()));
  Net.exchange(2, 1);
  CHECK(at(1).Now == 0);
  CHECK(Net.Owners[2].useHere(Part, Net.Time.now()));
}

// Guards against a delegation to the successor that ends with an answer which
// its predecessor has sent.
TEST_CASE_FIXTURE(DelegatedShare, "answer of a predecessor arrives late, share "
                                  "stays delegated") {
  Net.exchange(2, 1);
  auto late = Net.Answers.size() - 1;
  Net.restart(1);
  Net.exchange(2, 1);
  Net.exchange(2, 1);
  Net.deliverAnswer(late);
  CHECK(at(1).Now > 0);
  CHECK_FALSE(Net.Owners[2].useHere(Part, Net.Time.now()));
}

// Guards against shares that a daemon and its predecessor both delegate.
TEST_CASE_FIXTURE(DelegatedShare, "daemon starts, it uses its share only when "
                                  "earlier delegations have ended") {
  Net.restart(2);
  Net.exchange(2, 0);
  Net.exchange(2, 0);
  CHECK(Net.sum() <= 1 + 1e-9);
  Net.Time.advance(milliseconds(1'001));
  Net.exchange(2, 0);
  Net.exchange(2, 0);
  CHECK(at(0).Now > 0);
}

// Guards against daemons that know of different numbers of daemons.
TEST_CASE("more daemons known to others, a share is a part of those") {
  ManualClock time;
  ShareCounter counter(1);
  counter.setDaemons(2);
  messages::Delegation it;
  it.Vm = VmName("other");
  it.Daemons = 10;
  it.LastChallenge = counter.issueChallenge(time.now());
  it.Partitions = {Part};
  counter.handle(it, time.now());
  CHECK(counter.shares(Part, time.now(), time.now()).Now ==
        doctest::Approx(0.1));
}

// Guards against reports of a defective daemon.
TEST_CASE("challenge of another process or of the future, nothing is held") {
  ManualClock time;
  ShareCounter counter(1);
  counter.setDaemons(2);
  messages::Delegation it;
  it.Vm = VmName("other");
  it.Daemons = 2;
  it.Partitions = {Part, 99};
  auto now = counter.issueChallenge(time.now());
  for (auto challenge :
       {messages::Challenge{2, now.IssuedMicros},
        messages::Challenge{1, now.IssuedMicros + 1'000'000}}) {
    it.LastChallenge = challenge;
    counter.handle(it, time.now());
    CHECK(counter.shares(Part, time.now(), time.now()).Now == 0);
  }
}

// Guards against shares that are out of use for a renewal's time after they
// were released and delegated again.
TEST_CASE("share released, delegated with the challenge that confirms it, is "
          "held") {
  ManualClock time;
  ShareCounter counter(1);
  counter.setDaemons(2);
  messages::Delegation it;
  it.Vm = VmName("other");
  it.Daemons = 2;
  it.Released = {Part};
  counter.handle(it, time.now());
  it.LastChallenge = counter.issueChallenge(time.now());
  it.Released.clear();
  it.Partitions = {Part};
  time.advance(milliseconds(1));
  counter.handle(it, time.now());
  CHECK(counter.shares(Part, time.now(), time.now()).Now ==
        doctest::Approx(0.5));
}
