/// \file
/// Zstandard frames of texts, whole or as the difference from another text.

#ifndef PERIDOTFALL_MESSAGES_COMPRESSION_H
#define PERIDOTFALL_MESSAGES_COMPRESSION_H

#include "peridotfall/result.h"

#include <string>
#include <string_view>

namespace peridotfall::messages {

/// \param base a text that the receiver has; empty: none.
Result<std::string> compress(std::string_view text, std::string_view base);

/// \param most bytes of the text; more is Invalid.
/// \return Invalid where \p frame is not one, or of another base.
Result<std::string> decompress(std::string_view frame, std::string_view base,
                               std::size_t most);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_COMPRESSION_H
