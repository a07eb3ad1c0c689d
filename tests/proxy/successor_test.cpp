#include "proxy/successor.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

constexpr Position Acknowledged{3, 100}; ///< The last acknowledged commit.
constexpr Position Behind{3, 60};
constexpr Position Ahead{3, 101}; ///< Received, not acknowledged.

enum class Reach : std::uint8_t { Answers, Silent, Gone };

/// What is true of a replica, of which the failover leader sees a part.
struct Replica {
  Reach State = Reach::Answers;
  bool Leaving = false;
  bool PromotionFailed = false;
  Position Received;
};

enum class Primary : std::uint8_t { Crashed, LeavingAnswers, LeavingSilent };

struct Model {
  Primary Old = Primary::Crashed;
  std::vector<Replica> Replicas;
  Duration Waited{};
};

constexpr std::size_t ReplicaStates = std::size_t{3} * 2 * 2 * 3;

Replica replicaOf(std::size_t n) {
  constexpr Position Positions[] = {Behind, Acknowledged, Ahead};
  Replica out;
  out.State = static_cast<Reach>(n % 3);
  out.Leaving = n / 3 % 2;
  out.PromotionFailed = n / 6 % 2;
  out.Received = Positions[n / 12 % 3];
  return out;
}

TargetName nameOf(std::size_t n) { return TargetName(std::to_string(n)); }

PrimaryChange seenOf(const Model &model) {
  PrimaryChange out;
  out.WaitsForReplica = true;
  out.Planned = model.Old != Primary::Crashed;
  out.Waited = model.Waited;
  if (model.Old == Primary::LeavingAnswers)
    out.PrimaryAt = Acknowledged;
  for (std::size_t n = 0; n < model.Replicas.size(); ++n) {
    const auto &it = model.Replicas[n];
    if (it.State == Reach::Gone)
      continue;
    ReplicaReport report{nameOf(n), it.Leaving, it.PromotionFailed};
    if (it.State == Reach::Answers)
      report.Status = TargetStatus{false, 3, it.Received};
    out.Replicas.push_back(report);
  }
  return out;
}

bool hasAll(const Replica &it) { return it.Received >= Acknowledged; }

/// \return whether a listed replica has all acknowledged commits.
bool isCompleteListed(const Model &it) {
  return std::any_of(it.Replicas.begin(), it.Replicas.end(), [](const auto &n) {
    return n.State != Reach::Gone && hasAll(n);
  });
}

bool loses(const Model &model, const SuccessorDecision &decision) {
  if (decision.Step != SuccessorStep::Promote)
    return false;
  return !hasAll(model.Replicas.at(std::stoul(decision.Target.Value)));
}

/// Calls \p check for each group of up to \p most replicas, of which one at
/// least has acknowledged all commits.
template <class Check> std::size_t forEachGroup(std::size_t most, Check check) {
  std::size_t groups = 0;
  for (std::size_t size = 1; size <= most; ++size) {
    std::size_t count = 1;
    for (std::size_t n = 0; n < size; ++n)
      count *= ReplicaStates;
    for (std::size_t index = 0; index < count; ++index) {
      Model model;
      bool acknowledged = false;
      for (std::size_t n = 0, rest = index; n < size;
           ++n, rest /= ReplicaStates) {
        model.Replicas.push_back(replicaOf(rest % ReplicaStates));
        acknowledged = acknowledged || hasAll(model.Replicas.back());
      }
      if (!acknowledged)
        continue;
      for (auto old :
           {Primary::Crashed, Primary::LeavingAnswers, Primary::LeavingSilent})
        for (auto waited : {milliseconds(100), milliseconds(60'000)}) {
          model.Old = old;
          model.Waited = waited;
          check(model);
          ++groups;
        }
    }
  }
  return groups;
}

} // namespace

// Guards against the promotion of a replica that lacks acknowledged commits
// while a listed one has them, whatever is silent, leaving or gone.
TEST_CASE("any small group, no promotion loses commits that a listed replica "
          "has") {
  std::size_t lost = 0;
  std::size_t withoutLeaving = 0;
  auto groups = forEachGroup(3, [&](const Model &model) {
    if (!isCompleteListed(model))
      return;
    auto seen = seenOf(model);
    lost += loses(model, selectSuccessor(seen));
    // Without the leaving replicas the model finds losses.
    std::erase_if(seen.Replicas, [](const auto &it) { return it.Leaving; });
    withoutLeaving += loses(model, selectSuccessor(seen));
  });
  MESSAGE(groups << " groups, " << withoutLeaving
                 << " lose commits if leaving replicas are left out");
  CHECK(lost == 0);
  CHECK(withoutLeaving > 0);
}

// Guards against the loss of commits in a planned change, in which the primary
// still has them.
TEST_CASE("any small group whose leaving primary answers, only a replica with "
          "all its commits is promoted") {
  forEachGroup(2, [&](const Model &model) {
    if (model.Old != Primary::LeavingAnswers)
      return;
    auto out = selectSuccessor(seenOf(model));
    CHECK_FALSE(loses(model, out));
    if (out.Step == SuccessorStep::Promote)
      CHECK_FALSE(model.Replicas[std::stoul(out.Target.Value)].Leaving);
  });
}

// Guards against a group that stays without a primary.
TEST_CASE("any small group whose primary is lost, all listed replicas answer, "
          "one is promoted") {
  forEachGroup(3, [&](const Model &model) {
    auto silent = [](const Replica &it) { return it.State == Reach::Silent; };
    auto listed = [](const Replica &it) { return it.State != Reach::Gone; };
    bool expected =
        model.Old == Primary::Crashed &&
        std::none_of(model.Replicas.begin(), model.Replicas.end(), silent) &&
        std::any_of(model.Replicas.begin(), model.Replicas.end(), listed);
    if (expected)
      CHECK(selectSuccessor(seenOf(model)).Step == SuccessorStep::Promote);
  });
}

TEST_CASE("replica that leads already, none is promoted") {
  PrimaryChange change;
  change.WaitsForReplica = true;
  change.Waited = std::chrono::seconds(60);
  change.Replicas = {
      {TargetName("r"), false, false, TargetStatus{false, 3, Acknowledged}},
      {TargetName("s"), false, false, TargetStatus{true, 4, Ahead}}};
  CHECK(selectSuccessor(change).Step == SuccessorStep::QueryAll);
}

TEST_CASE("group that does not wait for replicas, silent replica, the other "
          "one is promoted after a limited wait") {
  PrimaryChange change;
  change.Replicas = {
      {TargetName("r"), false, false, TargetStatus{false, 3, Behind}},
      {TargetName("s"), false, false, std::nullopt}};
  CHECK(selectSuccessor(change).Step == SuccessorStep::QueryMissing);
  change.Waited = proxy::limits::SilentReplicaTimeout;
  auto out = selectSuccessor(change);
  CHECK(out.Step == SuccessorStep::Promote);
  CHECK(out.Target.Value == "r");
}
