/// \file
/// Zstandard compression of texts, optionally as a delta against a base text.

#ifndef PERIDOTFALL_MESSAGES_COMPRESSION_H
#define PERIDOTFALL_MESSAGES_COMPRESSION_H

#include "peridotfall/result.h"

#include <string>
#include <string_view>

namespace peridotfall::messages {

/// \param base a text that the receiver has, used as prefix; empty: none.
Result<std::string> compress(std::string_view text, std::string_view base);

/// \param maxBytes limit of the decompressed size; a larger text is Invalid.
/// \return Invalid if \p frame is malformed or was made with another base.
Result<std::string> decompress(std::string_view frame, std::string_view base,
                               std::size_t maxBytes);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_COMPRESSION_H
