#include "http/tls.h"

#include <array>
#include <cstring>
#include <openssl/ssl.h>

namespace peridotfall::http {

namespace {

using asio::ssl::context;

constexpr std::array<unsigned char, 3> Http2 = {2, 'h', '2'};

/// Selects HTTP/2 only: a peer that does not offer it fails in the handshake
/// instead of with a later protocol error.
int selectHttp2(SSL *, const unsigned char **out, unsigned char *length,
                const unsigned char *in, unsigned inLength, void *) {
  for (unsigned n = 0; n + Http2.size() <= inLength; n += in[n] + 1U) {
    if (std::memcmp(in + n, Http2.data(), Http2.size()) != 0)
      continue;
    *out = in + n + 1;
    *length = in[n];
    return SSL_TLSEXT_ERR_OK;
  }
  return SSL_TLSEXT_ERR_ALERT_FATAL;
}

Error fileError(const std::string &what, const std::string &path,
                const std::error_code &ec) {
  return {ErrorCode::Invalid, what + " " + path + ": " + ec.message()};
}

Result<TlsContext> makeContext(const TlsFiles &files, context::method method) {
  auto it = std::make_shared<context>(method);
  std::error_code ec;
  it->set_options(context::default_workarounds | context::no_sslv2 |
                      context::no_sslv3 | context::no_tlsv1 |
                      context::no_tlsv1_1,
                  ec);
  if (!files.Certificate.empty()) {
    it->use_certificate_chain_file(files.Certificate, ec);
    if (ec)
      return fileError("certificate", files.Certificate, ec);
    it->use_private_key_file(files.Key, context::pem, ec);
    if (ec)
      return fileError("key", files.Key, ec);
  }
  if (!files.Authority.empty()) {
    it->load_verify_file(files.Authority, ec);
    if (ec)
      return fileError("authority", files.Authority, ec);
  }
  return it;
}

} // namespace

Result<TlsContext> makeServerTls(const TlsFiles &files) {
  auto it = makeContext(files, context::tls_server);
  if (!it)
    return it;
  SSL_CTX_set_alpn_select_cb(it.value()->native_handle(), selectHttp2, nullptr);
  if (!files.Authority.empty())
    it.value()->set_verify_mode(asio::ssl::verify_peer |
                                asio::ssl::verify_fail_if_no_peer_cert);
  return it;
}

Result<TlsContext> makeClientTls(const TlsFiles &files) {
  auto it = makeContext(files, context::tls_client);
  if (!it)
    return it;
  SSL_CTX_set_alpn_protos(it.value()->native_handle(), Http2.data(),
                          Http2.size());
  if (files.Authority.empty())
    it.value()->set_default_verify_paths();
  it.value()->set_verify_mode(asio::ssl::verify_peer);
  return it;
}

} // namespace peridotfall::http
