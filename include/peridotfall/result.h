/// \file
/// Errors: a typed error for one operation, and findings for whole documents.

#ifndef PERIDOTFALL_RESULT_H
#define PERIDOTFALL_RESULT_H

#include <boost/outcome/outcome.hpp>
#include <compare>
#include <string>
#include <vector>

namespace peridotfall {

/// What went wrong, for code that decides by it.
enum class ErrorCode {
  Invalid,     ///< The input does not follow its format.
  Forged,      ///< A signature does not match.
  UnknownKey,  ///< Signed with a key this process does not have.
  NotFound,    ///< The named thing does not exist.
  Conflict,    ///< A conditional update met another version.
  Unavailable, ///< The other side cannot be reached; nothing was sent.
  Unknown,     ///< Sent, and no answer came: the outcome is unknown.
};

/// An error with a sentence for people.
struct Error {
  ErrorCode Code = ErrorCode::Invalid;
  std::string Message;

  auto operator<=>(const Error &) const = default;
};

/// A value or an error. Reading the wrong side throws.
template <class T> using Result = BOOST_OUTCOME_V2_NAMESPACE::checked<T, Error>;

/// One thing wrong in a document, with its place.
struct Finding {
  std::string Place;    ///< A JSON pointer, a flag or a variable's name.
  std::string Expected; ///< What would have been accepted.
  std::string Found;    ///< What stands there, shortened.

  auto operator<=>(const Finding &) const = default;
};

using Findings = std::vector<Finding>;

/// A parsed document, or everything that is wrong with it.
template <class T>
using Parsed = BOOST_OUTCOME_V2_NAMESPACE::checked<T, Findings>;

/// One line for people.
/// \param source the file or other origin the findings belong to.
std::string describe(const Finding &finding, const std::string &source);

} // namespace peridotfall

#endif // PERIDOTFALL_RESULT_H
