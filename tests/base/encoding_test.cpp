#include "base/encoding.h"

#include <doctest/doctest.h>

using namespace peridotfall;

TEST_CASE("UTF-8, characters of each length and what is none, are told apart") {
  for (const char *it :
       {"", "a", "\x7f", "\xc2\x80", "\xdf\xbf", "\xe0\xa0\x80", "\xed\x9f\xbf",
        "\xef\xbf\xbf", "\xf0\x90\x80\x80", "\xf4\x8f\xbf\xbf",
        "tr\xc3\xbcki"}) {
    CAPTURE(it);
    CHECK(isUtf8(it));
  }
  for (const char *it :
       {"\x80", "\xbf", "\xc0\xaf", "\xc1\xbf", "\xc3", "\xc3(", "\xe0\x9f\xbf",
        "\xe2\x82", "\xed\xa0\x80", "\xf0\x8f\xbf\xbf", "\xf4\x90\x80\x80",
        "\xf5\x80\x80\x80", "\xff", "a\xff"}) {
    CAPTURE(it);
    CHECK_FALSE(isUtf8(it));
  }
}

TEST_CASE("percent encoding, all but unreserved characters, is applied") {
  CHECK(encodePercent("AZaz09-._~") == "AZaz09-._~");
  CHECK(encodePercent(std::string("/?&=+ %\r\n\0\xff", 11)) ==
        "%2F%3F%26%3D%2B%20%25%0D%0A%00%FF");
}
