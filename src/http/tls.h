/// \file
/// TLS contexts: server TLS for callers, mutual TLS between daemons.

#ifndef PERIDOTFALL_HTTP_TLS_H
#define PERIDOTFALL_HTTP_TLS_H

#include "http/stream.h"
#include "peridotfall/result.h"

#include <string>

namespace peridotfall::http {

/// Paths of PEM files.
struct TlsFiles {
  std::string Certificate;
  std::string Key;
  /// Authority that must have signed the peer's certificate. Empty: a server
  /// requests no certificate, a client trusts the system's authorities.
  std::string Authority;

  bool empty() const { return Certificate.empty() && Key.empty(); }
  auto operator<=>(const TlsFiles &) const = default;
};

/// \return a context for a server, or an error that names the unusable file.
Result<TlsContext> makeServerTls(const TlsFiles &files);
/// \return a context for a client, or an error that names the unusable file.
Result<TlsContext> makeClientTls(const TlsFiles &files);

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_TLS_H
