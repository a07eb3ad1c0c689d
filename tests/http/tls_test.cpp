#include "http/fixture.h"
#include "http/tls.h"

#include <cstdio>
#include <filesystem>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

using namespace peridotfall;
using namespace peridotfall::http;

namespace {

/// Creates a self-signed certificate, which is also its own authority.
struct TestCertificate {
  explicit TestCertificate(const std::string &name) {
    auto dir = std::filesystem::temp_directory_path();
    auto stem = dir / ("peridotfall-" + name + "-" +
                       std::to_string(reinterpret_cast<std::uintptr_t>(this)));
    Files.Certificate = stem.string() + ".pem";
    Files.Key = stem.string() + ".key";
    auto *key = EVP_EC_gen("P-256");
    auto *cert = X509_new();
    ASN1_INTEGER_set(X509_get_serialNumber(cert), 1);
    X509_gmtime_adj(X509_getm_notBefore(cert), -3600);
    X509_gmtime_adj(X509_getm_notAfter(cert), 3600);
    X509_set_pubkey(cert, key);
    auto *subject = X509_get_subject_name(cert);
    X509_NAME_add_entry_by_txt(
        subject, "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(cert, subject);
    X509_sign(cert, key, EVP_sha256());
    write(Files.Certificate,
          [&](std::FILE *out) { PEM_write_X509(out, cert); });
    write(Files.Key, [&](std::FILE *out) {
      PEM_write_PrivateKey(out, key, nullptr, nullptr, 0, nullptr, nullptr);
    });
    X509_free(cert);
    EVP_PKEY_free(key);
  }
  ~TestCertificate() {
    std::filesystem::remove(Files.Certificate);
    std::filesystem::remove(Files.Key);
  }
  TestCertificate(const TestCertificate &) = delete;
  TestCertificate &operator=(const TestCertificate &) = delete;

  template <class Write>
  static void write(const std::string &path, Write content) {
    std::FILE *out = std::fopen(path.c_str(), "w");
    REQUIRE(out);
    content(out);
    std::fclose(out);
  }

  TlsFiles Files;
};

/// The fleet shares one certificate, which is its authority; the foreign
/// certificate has another authority.
struct MutualTlsFixture {
  TestCertificate Fleet{"fleet"};
  TestCertificate Foreign{"stranger"};

  TlsFiles mutual(const TestCertificate &own) const {
    auto it = own.Files;
    it.Authority = Fleet.Files.Certificate;
    return it;
  }
};

} // namespace

TEST_CASE_FIXTURE(MutualTlsFixture,
                  "mutual TLS, both sides of the fleet, answers the request") {
  ServerFixture server({.Tls = makeServerTls(mutual(Fleet)).value()});
  auto open = server.channel({.Tls = makeClientTls(mutual(Fleet)).value()});
  auto it =
      ServerFixture::begin(*open, ServerFixture::post("/echo", "hello")).get();
  REQUIRE(it);
  CHECK(it.value().Body == "hello");
}

TEST_CASE_FIXTURE(
    MutualTlsFixture,
    "mutual TLS, certificate of another authority, runs nothing") {
  ServerFixture server({.Tls = makeServerTls(mutual(Fleet)).value()});
  auto open = server.channel({.Tls = makeClientTls(mutual(Foreign)).value()});
  auto it =
      ServerFixture::begin(*open, ServerFixture::post("/echo", "hello")).get();
  CHECK_FALSE(it);
  CHECK(server.Requests.empty());
}

TEST_CASE_FIXTURE(MutualTlsFixture,
                  "mutual TLS, plain-text caller, runs nothing") {
  ServerFixture server({.Tls = makeServerTls(mutual(Fleet)).value()});
  auto open = server.channel();
  auto it =
      ServerFixture::begin(*open, ServerFixture::post("/echo", "hello")).get();
  CHECK_FALSE(it);
  CHECK(server.Requests.empty());
}

TEST_CASE_FIXTURE(MutualTlsFixture,
                  "TLS files, key of another certificate, are refused") {
  TlsFiles files{Fleet.Files.Certificate, Foreign.Files.Key, ""};
  auto it = makeServerTls(files);
  REQUIRE_FALSE(it);
  CHECK(it.error().Message.find(Foreign.Files.Key) != std::string::npos);
}
