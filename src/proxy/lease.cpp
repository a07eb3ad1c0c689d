#include "proxy/lease.h"

namespace peridotfall::proxy {

bool isSetupMalformed(const BatchResult &it) {
  return it.End == BatchEnd::NotRun && it.Error.Kind == ErrorKind::Malformed;
}

} // namespace peridotfall::proxy
