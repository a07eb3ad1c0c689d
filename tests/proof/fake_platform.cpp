#include "proof/fake_platform.h"

#include <utility>

namespace peridotfall::proof {

namespace {

constexpr milliseconds CallLimit{1'000};
constexpr milliseconds SlowAnswer{800};

Result<StoredObject> flatten(const Result<std::optional<StoredObject>> &it) {
  if (!it)
    return it.error();
  if (!it.value())
    return Error{ErrorCode::Conflict, "another version"};
  return *it.value();
}

} // namespace

template <class R>
void FakePlatform::answer(const std::function<void(R)> &reply, const R &it,
                          bool changed) {
  if (Fault == PlatformFault::Down ||
      (Fault == PlatformFault::AnswersLost && changed))
    return;
  auto delay = Fault == PlatformFault::Slow ? Duration(SlowAnswer)
                                            : Duration(milliseconds(2));
  Context.Net.timer(Node, delay, [reply, it] { reply(it); });
}

void FakePlatform::get(NodeId from, const std::string &key,
                       const OnObject &done) {
  Context.Net.call<Reply>(
      from, Node, CallLimit,
      [this, key](const std::function<void(Reply)> &reply) {
        answer<Reply>(reply, Objects[key], false);
      },
      [done](const Result<Reply> &it) { done(flatten(it)); });
}

void FakePlatform::put(NodeId from, const std::string &key,
                       std::uint64_t expected, const std::string &value,
                       const OnObject &done) {
  Context.Net.call<Reply>(
      from, Node, CallLimit,
      [this, key, expected, value](const std::function<void(Reply)> &reply) {
        if (Fault == PlatformFault::Down)
          return;
        auto &object = Objects[key];
        if (object.Version != expected) {
          answer<Reply>(reply, std::nullopt, false);
          return;
        }
        object = {expected + 1, value};
        answer<Reply>(reply, object, true);
      },
      [done](const Result<Reply> &it) { done(flatten(it)); });
}

void FakePlatform::listVms(NodeId from, const OnMembers &done) {
  Context.Net.call<std::vector<Member>>(
      from, Node, CallLimit,
      [this](const std::function<void(std::vector<Member>)> &reply) {
        answer<std::vector<Member>>(reply, Listed, false);
      },
      done);
}

void FakePlatform::setMembers(std::vector<Member> members) {
  Members = std::move(members);
  if (!ListLags)
    Listed = Members;
}

void FakePlatform::setListLag(bool lags) {
  ListLags = lags;
  if (!lags)
    Listed = Members;
}

} // namespace peridotfall::proof
