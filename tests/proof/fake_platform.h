/// \file
/// A fake of the platform's object API with conditional updates, outages, slow
/// answers, and answers lost after the change took effect; and of its list of
/// VMs, which may lag.

#ifndef PERIDOTFALL_PROOF_FAKE_PLATFORM_H
#define PERIDOTFALL_PROOF_FAKE_PLATFORM_H

#include "peridotfall/membership.h"
#include "proof/fake_target.h"

#include <map>
#include <string>
#include <vector>

namespace peridotfall::proof {

struct StoredObject {
  std::uint64_t Version = 0; ///< 0: does not exist.
  std::string Value;

  auto operator<=>(const StoredObject &) const = default;
};

enum class PlatformFault : std::uint8_t { None, Down, Slow, AnswersLost };

class FakePlatform {
public:
  FakePlatform(RunContext context, NodeId node)
      : Context(context), Node(node) {}

  NodeId node() const { return Node; }
  PlatformFault Fault = PlatformFault::None;
  /// The list of VMs is not updated.
  bool ListLags = false;

  using OnObject = std::function<void(Result<StoredObject>)>;
  void get(NodeId from, const std::string &key, const OnObject &done);
  /// \param expected version to replace; Conflict if the version is another.
  void put(NodeId from, const std::string &key, std::uint64_t expected,
           const std::string &value, const OnObject &done);
  using OnMembers = std::function<void(Result<std::vector<Member>>)>;
  void listVms(NodeId from, const OnMembers &done);

  /// Sets the members; a lagging list shows them only once it stops lagging.
  void setMembers(std::vector<Member> members);
  void setListLag(bool lags);

private:
  /// The object, or nothing if the version was another.
  using Reply = std::optional<StoredObject>;
  /// Answers, or doesn't, according to the current fault.
  template <class R>
  void answer(const std::function<void(R)> &reply, const R &it, bool changed);

  RunContext Context;
  NodeId Node;
  std::map<std::string, StoredObject> Objects;
  std::vector<Member> Members;
  std::vector<Member> Listed;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_FAKE_PLATFORM_H
