/// \file
/// The configuration in force in a process.

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

  /// Replaces the configuration if \p it has a higher revision. Several
  /// watches deliver it concurrently and an old answer may arrive last; the
  /// comparison prevents a rollback. \return whether it was replaced.
  bool updateIfNewer(Configuration it) {
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
