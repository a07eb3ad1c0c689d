#include "base/encoding.h"

#include <array>
#include <cstdint>
#include <fmt/format.h>
#include <openssl/rand.h>
#include <stdexcept>
#include <vector>

namespace peridotfall {

namespace {

constexpr char Alphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

int valueOf(char c) {
  if (c >= 'A' && c <= 'Z')
    return c - 'A';
  if (c >= 'a' && c <= 'z')
    return c - 'a' + 26;
  if (c >= '0' && c <= '9')
    return c - '0' + 52;
  if (c == '-')
    return 62;
  return c == '_' ? 63 : -1;
}

} // namespace

std::string encodeBase64Url(const std::string &bytes) {
  std::string out;
  out.reserve((bytes.size() * 4 + 2) / 3);
  std::uint32_t buffer = 0;
  int pendingBits = 0;
  for (unsigned char c : bytes) {
    buffer = (buffer << 8) | c;
    pendingBits += 8;
    while (pendingBits >= 6) {
      pendingBits -= 6;
      out += Alphabet[(buffer >> pendingBits) & 63];
    }
  }
  if (pendingBits > 0)
    out += Alphabet[(buffer << (6 - pendingBits)) & 63];
  return out;
}

std::optional<std::string> decodeBase64Url(const std::string &text) {
  if (text.size() % 4 == 1)
    return std::nullopt;
  std::string out;
  out.reserve(text.size() * 3 / 4);
  std::uint32_t buffer = 0;
  int pendingBits = 0;
  for (char c : text) {
    int v = valueOf(c);
    if (v < 0)
      return std::nullopt;
    buffer = (buffer << 6) | static_cast<std::uint32_t>(v);
    pendingBits += 6;
    if (pendingBits >= 8) {
      pendingBits -= 8;
      out += static_cast<char>((buffer >> pendingBits) & 255);
    }
  }
  // The remaining bits must be zero, so that each value has one encoding.
  if ((buffer & ((1U << pendingBits) - 1)) != 0)
    return std::nullopt;
  return out;
}

std::size_t utf8Length(std::string_view text) {
  auto byte = [text](std::size_t n) {
    return static_cast<unsigned char>(text[n]);
  };
  auto first = byte(0);
  if (first < 0x80)
    return 1;
  std::size_t n = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
  if (first < 0xc2 || first > 0xf4 || text.size() < n)
    return 0;
  for (std::size_t k = 1; k < n; ++k)
    if ((byte(k) & 0xc0) != 0x80)
      return 0;
  // Longer forms of a character, surrogates, and beyond the last character.
  auto second = byte(1);
  bool excluded =
      (first == 0xe0 && second < 0xa0) || (first == 0xed && second > 0x9f) ||
      (first == 0xf0 && second < 0x90) || (first == 0xf4 && second > 0x8f);
  return excluded ? 0 : n;
}

bool isUtf8(std::string_view text) {
  while (!text.empty()) {
    auto n = utf8Length(text);
    if (n == 0)
      return false;
    text.remove_prefix(n);
  }
  return true;
}

std::string encodePercent(std::string_view text) {
  constexpr std::string_view Unreserved = "-._~";
  std::string out;
  for (char c : text) {
    bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                 (c >= '0' && c <= '9') ||
                 Unreserved.find(c) != std::string_view::npos;
    if (plain)
      out += c;
    else
      out += fmt::format("%{:02X}", static_cast<unsigned char>(c));
  }
  return out;
}

std::string randomHex(std::size_t bytes) {
  std::vector<unsigned char> buf(bytes);
  if (RAND_bytes(buf.data(), static_cast<int>(bytes)) != 1)
    throw std::runtime_error("RAND_bytes failed to get random bytes");
  std::string out;
  for (unsigned char c : buf)
    out += fmt::format("{:02x}", c);
  return out;
}

} // namespace peridotfall
