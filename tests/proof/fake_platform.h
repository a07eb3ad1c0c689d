/// \file
/// The platform's object API as a fake: conditional updates, outages, slowness
/// and answers lost after the change took effect; and its list of VMs, which
/// lags.

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
  FakePlatform(Setting setting, NodeId node) : At(setting), Node(node) {}

  NodeId node() const { return Node; }
  PlatformFault Fault = PlatformFault::None;
  /// The list of VMs stays as it was.
  bool ListLags = false;

  using OnObject = std::function<void(Result<StoredObject>)>;
  void get(NodeId from, const std::string &key, const OnObject &done);
  /// \param expected version to replace. Conflict where it is another.
  void put(NodeId from, const std::string &key, std::uint64_t expected,
           const std::string &value, const OnObject &done);
  using OnMembers = std::function<void(Result<std::vector<Member>>)>;
  void listVms(NodeId from, const OnMembers &done);

  /// The list as it is; a lagging one is told later.
  void setMembers(std::vector<Member> members);
  void setListLag(bool lags);

private:
  /// \return the object, or nothing where the version was another.
  using Reply = std::optional<StoredObject>;
  /// Answers as the fault of the moment has it.
  template <class R>
  void answer(const std::function<void(R)> &reply, const R &it, bool changed);

  Setting At;
  NodeId Node;
  std::map<std::string, StoredObject> Objects;
  std::vector<Member> Members;
  std::vector<Member> Listed;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_FAKE_PLATFORM_H
