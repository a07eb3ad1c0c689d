// Writes valid seed inputs of fuzz/corpus.
// Usage: fuzz_corpus FOLDER

#include "messages/inner.h"
#include "peridotfall/configuration.h"
#include "peridotfall/session_token.h"

#include <fstream>
#include <iostream>

using namespace peridotfall;

namespace {

void write(const std::string &path, const std::string &bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}

std::string makeToken() {
  auto keys = parseTokenKeys("k1:0123456789abcdef0123456789abcdef").value();
  SessionToken token = withSeen({}, DatabaseName("orders"), {3, 17}, "key");
  return signToken(withUnknown(token, DatabaseName("stock"), "key-2"), keys);
}

Configuration makeConfiguration() {
  Configuration out;
  out.Revision = 3;
  out.Id = "0123456789abcdef";
  out.AppliedBy = "operator";
  out.Domains = {{DomainName("tartu-press"), RegionName("tartu")}};
  DatabaseConfig it;
  it.Name = DatabaseName("orders");
  for (int n = 0; n < 3; ++n)
    it.Targets.push_back({TargetName("target-" + std::to_string(n)),
                          DomainName("tartu-press"),
                          "10.0.0.1:" + std::to_string(7'000 + n), 2, 16});
  it.Kinds = {{KindName("place-order"), Access::Write, false, true, {}}};
  out.Databases = {it};
  return out;
}

std::string makeRequest() {
  StatementRequest it;
  it.Id = {7};
  it.Database = DatabaseName("orders");
  it.Target = TargetName("target-0");
  it.Kind = KindName("place-order");
  it.NotBefore = {3, 17};
  it.Sql = "INSERT INTO orders VALUES(?, ?, ?, ?)";
  it.Params = {std::int64_t{1}, 0.5, std::string("flyer"), Blob{"\x01\x02"}};
  it.Key = "order-17";
  it.Budget = std::chrono::seconds(5);
  it.Traceparent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  return messages::encode(it);
}

std::string makeAnswer() {
  StatementAnswer it;
  it.Id = {7};
  it.Effect = Outcome::Done;
  it.Code = AnswerCode::Ok;
  it.Columns = {"item", "count"};
  it.Rows = {{std::string("flyer"), std::int64_t{2}}, {Null{}, 1.5}};
  it.At = {3, 18};
  it.ServedBy = TargetName("target-0");
  it.RetryAfter = std::chrono::milliseconds(200);
  return messages::encode(it);
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2) {
    std::cerr << "usage: fuzz_corpus FOLDER\n";
    return 2;
  }
  std::string folder = argv[1];
  auto token = makeToken();
  write(folder + "/token/two-databases", token);
  write(folder + "/configuration/small.json",
        writeConfiguration(makeConfiguration()));
  write(folder + "/caller_request/order",
        "POST\n/v1/databases/orders/statements\nidempotency-key:order-17\n"
        "peridotfall-deadline-ms:500\nperidotfall-session:" +
            token +
            "\n\n{\"kind\":\"place-order\",\"sql\":\"INSERT INTO orders "
            "VALUES(?)\",\"params\":[null,1,0.5,\"x\",{\"base64\":\"AQI\"}]}");
  write(folder + "/caller_request/commit",
        "POST\n/v1/databases/orders/transactions/abc/commit\n\n{}");
  write(folder + "/inner/request", "q" + makeRequest());
  write(folder + "/inner/answer", "a" + makeAnswer());
  write(folder + "/inner/peer",
        "p" + messages::encode(messages::PeerInfo{
                  {VmName("vm-1"), DomainName("tartu-press"),
                   RegionName("tartu"), "10.0.0.1:8081", 12, true},
                  3}));
  return 0;
}
