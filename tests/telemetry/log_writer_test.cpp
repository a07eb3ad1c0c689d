#include "telemetry/log_writer.h"

#include <cstdio>
#include <doctest/doctest.h>
#include <string>
#include <unistd.h>

using namespace peridotfall::telemetry;

namespace {

/// Standard output is a pipe that nobody reads until the test says so.
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

  /// Reads until a line that holds \p last has come.
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

// Callers would be answered late, or not at all: whoever collects the logs has
// stalled, the pipe is full, and the daemon goes on logging. Lines are dropped
// and counted, the oldest first, and nothing waits.
TEST_CASE("log that nobody reads, drops lines and keeps nobody waiting") {
  UnreadOutput output;
  auto before = droppedLines();
  const std::string filler(200, '.');
  constexpr std::size_t Lines = 8 * WaitingLines;
  for (std::size_t n = 0; n < Lines; ++n)
    writeLine(filler);
  writeLine("the last line");
  CHECK(droppedLines() > before);
  output.readUntil("the last line");
}
