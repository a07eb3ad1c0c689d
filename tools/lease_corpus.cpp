// Writes valid seed inputs of fuzz/corpus/lease.
// Usage: lease_corpus FOLDER

#include "messages/lease.h"
#include "messages/snapshot.h"

#include <fstream>
#include <iostream>

using namespace peridotfall;

namespace {

void write(const std::string &path, const std::string &bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}

proxy::Batch makeBatch() {
  proxy::Batch it;
  it.Session = {{"zone", "press"}};
  it.RequiredPrepared = {{true, "q2c"}};
  it.Statements = {proxy::makeProxyStatement(proxy::StatementKind::Begin)};
  it.Statements[0].NotBefore = Position{3, 17};
  it.Timeout = std::chrono::milliseconds(300);
  return it;
}

proxy::BatchResult makeResult() {
  proxy::BatchResult it;
  it.End = proxy::BatchEnd::Complete;
  it.LeaseKept = true;
  it.Answers.resize(1);
  it.Answers[0].Rows = {"row"};
  it.Answers[0].Signature = "7.1f3";
  it.Answers[0].At = Position{3, 18};
  return it;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2) {
    std::cerr << "usage: lease_corpus FOLDER\n";
    return 2;
  }
  std::string folder = std::string(argv[1]) + "/";
  write(folder + "begin",
        messages::encode(messages::BeginLease{{TargetName("t"), 1,
                                               std::chrono::milliseconds(100),
                                               std::chrono::milliseconds(500)},
                                              makeBatch()}));
  write(folder + "run",
        messages::encode(messages::RunLease{{{3}, {7}}, makeBatch()}));
  write(folder + "answer",
        messages::encode(messages::LeaseAnswer{makeResult(), {{3}, {7}}}));
  write(folder + "copy", messages::encode(messages::SnapshotAnswer{
                             9, {{"a", {"a", "{}", 3, false}}}}));
  return 0;
}
