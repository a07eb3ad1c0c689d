/// \file
/// Error types: an error for one operation, and findings for whole documents.

#ifndef PERIDOTFALL_RESULT_H
#define PERIDOTFALL_RESULT_H

#include <boost/outcome/outcome.hpp>
#include <compare>
#include <string>
#include <vector>

namespace peridotfall {

/// Machine-readable kind of an error.
enum class ErrorCode {
  Invalid,     ///< The input is malformed.
  Forged,      ///< The signature does not match.
  UnknownKey,  ///< Signed with a key that this process does not have.
  NotFound,    ///< The requested object does not exist.
  Conflict,    ///< A conditional update found another version.
  Unavailable, ///< The peer cannot be reached; nothing was sent.
  Unknown,     ///< Sent without an answer; the outcome is unknown.
};

struct Error {
  ErrorCode Code = ErrorCode::Invalid;
  std::string Message; ///< Human-readable.

  auto operator<=>(const Error &) const = default;
};

/// A value or an error. Access to the one that is not set throws.
template <class T> using Result = BOOST_OUTCOME_V2_NAMESPACE::checked<T, Error>;

/// One error in a document, with its location.
struct Finding {
  std::string Place;    ///< JSON pointer, or name of a flag or a variable.
  std::string Expected; ///< What is accepted.
  std::string Found;    ///< The value found, shortened.

  auto operator<=>(const Finding &) const = default;
};

using Findings = std::vector<Finding>;

/// A parsed document, or all errors found in it.
template <class T>
using Parsed = BOOST_OUTCOME_V2_NAMESPACE::checked<T, Findings>;

/// \return the finding as one human-readable line.
/// \param source file or other origin of the document.
std::string describe(const Finding &finding, const std::string &source);

} // namespace peridotfall

#endif // PERIDOTFALL_RESULT_H
