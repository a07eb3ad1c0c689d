/// \file
/// Compile-time limits, all in one place. Each names its unit and what it
/// protects. Settings that operators may change are in the daemon's options.

#ifndef PERIDOTFALL_LIMITS_H
#define PERIDOTFALL_LIMITS_H

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace peridotfall::limits {

using std::chrono::milliseconds;

/// Bytes of one request body. A caller that sends more is answered 413 before
/// the body is buffered, so that a few callers cannot fill a small VM.
inline constexpr std::size_t MaxRequestBody = 1 << 20;
/// Bytes of one answer that we buffer, from a target or another daemon.
inline constexpr std::size_t MaxAnswerBody = 16 << 20;
/// Bytes of all header names and values of one request.
inline constexpr std::size_t MaxHeaderBytes = 16 << 10;
/// Number of header fields in one request.
inline constexpr std::size_t MaxHeaderFields = 64;
/// Concurrent HTTP/2 streams on one caller connection.
inline constexpr std::uint32_t MaxCallerStreams = 128;
/// Concurrent HTTP/2 streams on one connection between daemons.
inline constexpr std::uint32_t MaxInnerStreams = 4096;
/// Bytes read from a TLS connection at once; each holds such a buffer.
inline constexpr std::size_t ReadBufferBytes = 4 << 10;
/// Bytes read from a plain connection at once; a thread holds one buffer.
inline constexpr std::size_t SharedReadBytes = 64 << 10;
/// A caller connection with an unfinished request that sends nothing for this
/// long is closed: a slow sender holds a stream and its buffer.
inline constexpr milliseconds SlowSenderLimit{10'000};
/// Deadline of a request whose caller names none.
inline constexpr milliseconds DefaultDeadline{5'000};
/// Longest deadline a caller may name.
inline constexpr milliseconds MaxDeadline{60'000};
/// Characters of an idempotency key.
inline constexpr std::size_t MaxKeyLength = 128;
/// Characters of a session token.
inline constexpr std::size_t MaxTokenLength = 4096;
/// Databases that one session token may mention.
inline constexpr std::size_t MaxTokenEntries = 32;
/// Parameters of one statement.
inline constexpr std::size_t MaxParameters = 256;
/// Waits of one connection attempt, in and out of the fleet.
inline constexpr milliseconds ConnectLimit{1'000};
/// An answer that has begun is given up after so long without another byte. Two
/// packets lost in a row are sent again within it.
inline constexpr milliseconds AnswerStall{700};
/// Shards of the owner's state, each under its lock.
inline constexpr std::size_t OwnerShards = 16;

} // namespace peridotfall::limits

#endif // PERIDOTFALL_LIMITS_H
