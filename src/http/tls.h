/// \file
/// TLS contexts: towards callers, and mutual TLS between daemons.

#ifndef PERIDOTFALL_HTTP_TLS_H
#define PERIDOTFALL_HTTP_TLS_H

#include "http/stream.h"
#include "peridotfall/result.h"

#include <string>

namespace peridotfall::http {

/// Files in PEM form.
struct TlsFiles {
  std::string Certificate;
  std::string Key;
  /// Authority that the other side's certificate must be signed by; empty: a
  /// server asks for none, a client trusts the system's authorities.
  std::string Authority;

  bool empty() const { return Certificate.empty() && Key.empty(); }
  auto operator<=>(const TlsFiles &) const = default;
};

/// \return a context for accepting, or which file is wrong.
Result<TlsContext> makeServerTls(const TlsFiles &files);
/// \return a context for connecting, or which file is wrong.
Result<TlsContext> makeClientTls(const TlsFiles &files);

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_TLS_H
