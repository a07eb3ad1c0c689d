/// \file
/// Operators who apply configurations, and settle a lost answer by reading
/// back the identifier of their own change.

#ifndef PERIDOTFALL_PROOF_OPERATORS_H
#define PERIDOTFALL_PROOF_OPERATORS_H

#include "proof/peers.h"

#include <string>

namespace peridotfall::proof {

class Operators {
public:
  Operators(Setting setting, NodeId node, FakePlatform &platform)
      : At(setting), Node(node), Platform(platform) {}

  /// Applies one configuration; what the operator is told at the end goes
  /// into the history.
  void apply();

private:
  struct Change {
    Configuration It;
    int TriesLeft = 0;
    bool InDoubt = false; ///< An earlier try may have taken effect.
  };

  void read(Change change);
  void write(Change change, std::uint64_t expected);
  void again(const Change &change);
  void tell(const Change &change, Outcome told);

  Setting At;
  NodeId Node;
  FakePlatform &Platform;
  std::uint64_t LastId = 0;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_OPERATORS_H
