/// \file
/// Text drawn for round trips: the bytes that separate, quote or escape
/// somewhere, and some that are no UTF-8.

#ifndef PERIDOTFALL_TESTS_DRAWN_TEXT_H
#define PERIDOTFALL_TESTS_DRAWN_TEXT_H

#include <algorithm>
#include <random>
#include <string>
#include <string_view>

namespace peridotfall::testing {

inline std::string drawText(std::mt19937 &random) {
  using namespace std::string_view_literals;
  constexpr auto Bytes =
      "ab-  \t\r\n\0\x1b\x7f\"'=\\%/?&#+:.xn\xff\x80\xc3\xa9"sv;
  constexpr std::size_t MaxLength = 12;
  std::string out(random() % (MaxLength + 1), ' ');
  for (auto &c : out)
    c = Bytes[random() % Bytes.size()];
  return out;
}

/// \return text that the end of a line can carry.
inline std::string drawLineText(std::mt19937 &random) {
  auto out = drawText(random);
  for (auto n = out.find("\r\n"); n != std::string::npos; n = out.find("\r\n"))
    out.erase(n, 1);
  return out;
}

/// \return text that a field within a line can carry.
inline std::string drawField(std::mt19937 &random) {
  auto out = drawLineText(random);
  std::replace(out.begin(), out.end(), ' ', '_');
  return out.empty() ? "f" : out;
}

} // namespace peridotfall::testing

#endif // PERIDOTFALL_TESTS_DRAWN_TEXT_H
