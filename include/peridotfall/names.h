/// \file
/// Strongly typed names and handles.

#ifndef PERIDOTFALL_NAMES_H
#define PERIDOTFALL_NAMES_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace peridotfall {

/// A name that does not convert to a name of another kind.
template <class Tag> struct Name {
  std::string Value;

  Name() = default;
  explicit Name(std::string value) : Value(std::move(value)) {}
  bool empty() const { return Value.empty(); }
  auto operator<=>(const Name &) const = default;
};

using DatabaseName = Name<struct DatabaseTag>;
using TargetName = Name<struct TargetTag>;
using VmName = Name<struct VmTag>;
using DomainName = Name<struct DomainTag>; ///< A failure domain.
using RegionName = Name<struct RegionTag>;
using KindName = Name<struct KindTag>; ///< A kind of request.
using CallerName = Name<struct CallerTag>;

/// An integer handle that does not convert to a handle of another kind. Zero is
/// invalid.
template <class Tag> struct Handle {
  std::uint64_t Value = 0;

  bool valid() const { return Value != 0; }
  auto operator<=>(const Handle &) const = default;
};

using RequestId = Handle<struct RequestTag>;
using TicketHandle = Handle<struct TicketTag>; ///< An entry in a queue.
using ConnectionHandle = Handle<struct ConnectionTag>;

/// The term of a database group; it increases with each change of primary.
using Term = std::uint64_t;

/// A position in a group's log. Ordered by term first, since a longer log of an
/// older term is not newer.
struct Position {
  Term InTerm = 0;
  std::uint64_t Index = 0;

  auto operator<=>(const Position &) const = default;
};

} // namespace peridotfall

template <class Tag> struct std::hash<peridotfall::Name<Tag>> {
  std::size_t operator()(const peridotfall::Name<Tag> &name) const noexcept {
    return std::hash<std::string>{}(name.Value);
  }
};

template <class Tag> struct std::hash<peridotfall::Handle<Tag>> {
  std::size_t operator()(const peridotfall::Handle<Tag> &it) const noexcept {
    return std::hash<std::uint64_t>{}(it.Value);
  }
};

#endif // PERIDOTFALL_NAMES_H
