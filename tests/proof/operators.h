/// \file
/// Operators that apply configurations. After a lost answer they read the
/// object back and look for the identifier of their own change.

#ifndef PERIDOTFALL_PROOF_OPERATORS_H
#define PERIDOTFALL_PROOF_OPERATORS_H

#include "proof/peers.h"

#include <string>

namespace peridotfall::proof {

class Operators {
public:
  Operators(RunContext context, NodeId node, FakePlatform &platform)
      : Context(context), Node(node), Platform(platform) {}

  /// Applies one configuration and records the reported outcome in the history.
  void apply();

private:
  struct Change {
    Configuration Desired;
    int AttemptsLeft = 0;
    bool InDoubt = false; ///< An earlier attempt may have taken effect.
  };

  void read(Change change);
  void write(Change change, std::uint64_t expected);
  void retry(const Change &change);
  void recordOutcome(const Change &change, Outcome reported);

  RunContext Context;
  NodeId Node;
  FakePlatform &Platform;
  std::uint64_t LastId = 0;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_OPERATORS_H
