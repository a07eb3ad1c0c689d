/// \file
/// Compile-time limits. Settings that operators may change are in the daemon's
/// options.

#ifndef PERIDOTFALL_LIMITS_H
#define PERIDOTFALL_LIMITS_H

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace peridotfall::limits {

using std::chrono::milliseconds;

/// Bytes of one request body. A larger request is answered with 413 before the
/// body is buffered, so that a few callers cannot exhaust a small VM's memory.
inline constexpr std::size_t MaxRequestBody = 1 << 20;
/// Bytes buffered of one answer from a target or another daemon.
inline constexpr std::size_t MaxAnswerBody = 16 << 20;
/// Bytes of all header names and values of one request.
inline constexpr std::size_t MaxHeaderBytes = 16 << 10;
/// Number of header fields in one request.
inline constexpr std::size_t MaxHeaderFields = 64;
/// Levels of arrays and objects in one JSON text. Writing a value recurses once
/// a level.
inline constexpr std::size_t MaxJsonDepth = 64;
/// Elements of one array, or fields of one object, in a JSON text of which only
/// a part can be read.
inline constexpr std::size_t MaxJsonParts = 1 << 16;
/// Concurrent HTTP/2 streams on one caller connection.
inline constexpr std::uint32_t MaxCallerStreams = 128;
/// Concurrent HTTP/2 streams on one connection between daemons.
inline constexpr std::uint32_t MaxInnerStreams = 4096;
/// Bytes per read from a TLS connection; each connection has its own buffer.
inline constexpr std::size_t ReadBufferBytes = 4 << 10;
/// Bytes per read from a plain connection; one buffer per thread.
inline constexpr std::size_t SharedReadBytes = 64 << 10;
/// A caller connection with an unfinished request is closed after this time
/// without a byte, since a slow sender occupies a stream and its buffer.
inline constexpr milliseconds SlowSenderLimit{10'000};
/// Deadline of a request that does not set one.
inline constexpr milliseconds DefaultDeadline{5'000};
/// Longest deadline that a request may set.
inline constexpr milliseconds MaxDeadline{60'000};
/// Characters of an idempotency key.
inline constexpr std::size_t MaxKeyLength = 128;
/// Characters of a session token.
inline constexpr std::size_t MaxTokenLength = 4096;
/// Databases in one session token.
inline constexpr std::size_t MaxTokenEntries = 32;
/// Parameters of one statement.
inline constexpr std::size_t MaxParameters = 256;
/// Timeout of one connection attempt, to a daemon or to any other host.
inline constexpr milliseconds ConnectLimit{1'000};
/// An answer that has begun is abandoned after this time without another byte.
/// Two packets lost in a row are retransmitted within it.
inline constexpr milliseconds AnswerStall{700};
/// Shards of the owner's state, each with its own lock.
inline constexpr std::size_t OwnerShards = 16;

} // namespace peridotfall::limits

#endif // PERIDOTFALL_LIMITS_H
