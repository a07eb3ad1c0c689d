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
  std::uint32_t acc = 0;
  int bits = 0;
  for (unsigned char c : bytes) {
    acc = (acc << 8) | c;
    bits += 8;
    while (bits >= 6) {
      bits -= 6;
      out += Alphabet[(acc >> bits) & 63];
    }
  }
  if (bits > 0)
    out += Alphabet[(acc << (6 - bits)) & 63];
  return out;
}

std::optional<std::string> decodeBase64Url(const std::string &text) {
  if (text.size() % 4 == 1)
    return std::nullopt;
  std::string out;
  out.reserve(text.size() * 3 / 4);
  std::uint32_t acc = 0;
  int bits = 0;
  for (char c : text) {
    int v = valueOf(c);
    if (v < 0)
      return std::nullopt;
    acc = (acc << 6) | static_cast<std::uint32_t>(v);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>((acc >> bits) & 255);
    }
  }
  // Left-over bits must be zero, or two texts would stand for one value.
  if ((acc & ((1U << bits) - 1)) != 0)
    return std::nullopt;
  return out;
}

std::string randomHex(std::size_t bytes) {
  std::vector<unsigned char> buf(bytes);
  if (RAND_bytes(buf.data(), static_cast<int>(bytes)) != 1)
    throw std::runtime_error("no randomness from the system");
  std::string out;
  for (unsigned char c : buf)
    out += fmt::format("{:02x}", c);
  return out;
}

} // namespace peridotfall
