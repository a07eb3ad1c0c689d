/// \file
/// Text encodings and random identifiers.

#ifndef PERIDOTFALL_BASE_ENCODING_H
#define PERIDOTFALL_BASE_ENCODING_H

#include <optional>
#include <string>
#include <string_view>

namespace peridotfall {

/// Base64url as in RFC 4648 section 5, without padding.
std::string encodeBase64Url(const std::string &bytes);
std::optional<std::string> decodeBase64Url(const std::string &text);

/// \return the length of the UTF-8 character at the begin of \p text, which is
/// not empty; 0 where there is none.
std::size_t utf8Length(std::string_view text);

bool isUtf8(std::string_view text);

/// \return the text as one segment of a path or one value of a query, as in
/// RFC 3986.
std::string encodePercent(std::string_view text);

/// \param bytes number of random bytes; the text is twice as long.
std::string randomHex(std::size_t bytes);

} // namespace peridotfall

#endif // PERIDOTFALL_BASE_ENCODING_H
