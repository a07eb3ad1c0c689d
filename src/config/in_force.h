/// \file
/// The configuration in force at one process.

#ifndef PERIDOTFALL_CONFIG_IN_FORCE_H
#define PERIDOTFALL_CONFIG_IN_FORCE_H

#include "peridotfall/configuration.h"

#include <memory>
#include <mutex>

namespace peridotfall {

class ConfigurationInForce {
public:
  std::shared_ptr<const Configuration> get() const {
    std::lock_guard guard(Lock);
    return Current;
  }

  /// Takes the configuration if its revision is above the one in force.
  /// Several watches race to bring it, and an old answer may come last; the
  /// comparison keeps a daemon from going back. \return whether it was taken.
  bool offer(Configuration it) {
    std::lock_guard guard(Lock);
    if (Current && it.Revision <= Current->Revision)
      return false;
    Current = std::make_shared<const Configuration>(std::move(it));
    return true;
  }

private:
  mutable std::mutex Lock;
  std::shared_ptr<const Configuration> Current;
};

} // namespace peridotfall

#endif // PERIDOTFALL_CONFIG_IN_FORCE_H
