#include "telemetry/log_writer.h"

#include <cstdio>
#include <doctest/doctest.h>
#include <string>
#include <unistd.h>

using namespace peridotfall::telemetry;

namespace {

/// Redirects standard output to a pipe that is read only by readUntil.
struct UnreadOutput {
  int Saved = dup(STDOUT_FILENO);
  int Reader = -1;

  UnreadOutput() {
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    std::fflush(stdout);
    dup2(ends[1], STDOUT_FILENO);
    close(ends[1]);
    Reader = ends[0];
  }
  ~UnreadOutput() {
    dup2(Saved, STDOUT_FILENO);
    close(Saved);
    close(Reader);
  }
  UnreadOutput(const UnreadOutput &) = delete;
  UnreadOutput &operator=(const UnreadOutput &) = delete;

  /// Reads until \p last has been read.
  void readUntil(const std::string &last) const {
    std::string text;
    char buf[4096];
    while (text.find(last) == std::string::npos) {
      auto n = read(Reader, buf, sizeof(buf));
      REQUIRE(n > 0);
      text.append(buf, static_cast<std::size_t>(n));
    }
  }
};

} // namespace

// Guards against late or missing answers to callers when the log collector
// stalls and the pipe is full. Lines are dropped and counted, oldest first, and
// writeLine does not block.
TEST_CASE("log with a stalled reader, drops lines and does not block") {
  UnreadOutput output;
  auto before = droppedLines();
  const std::string filler(200, '.');
  constexpr std::size_t Lines = 8 * MaxQueuedLines;
  for (std::size_t n = 0; n < Lines; ++n)
    writeLine(filler);
  writeLine("the last line");
  CHECK(droppedLines() > before);
  output.readUntil("the last line");
}
