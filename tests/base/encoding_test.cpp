#include "base/encoding.h"

#include <doctest/doctest.h>

using namespace peridotfall;

TEST_CASE("percent encoding, all but unreserved characters, is applied") {
  CHECK(encodePercent("AZaz09-._~") == "AZaz09-._~");
  CHECK(encodePercent(std::string("/?&=+ %\r\n\0\xff", 11)) ==
        "%2F%3F%26%3D%2B%20%25%0D%0A%00%FF");
}
