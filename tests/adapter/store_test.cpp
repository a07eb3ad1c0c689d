#include "store.h"

#include "drawn_text.h"
#include "entries.h"

#include <algorithm>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <memory>

using namespace peridotfall;
using namespace peridotfall::adapter;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Limit{2'000};

/// Values that a program of another kind may have written into an entry.
std::vector<std::string> unreadableSpecs() {
  constexpr std::size_t Many = 400'000;
  return {"1e999",
          R"({"slots":1e999})",
          R"({"a":)" + std::string(Many, '[') + std::string(Many, ']') + "}",
          "{\"zone\":\"\xff\xfe\"}",
          R"({"zone":"\ud800"})",
          R"({"zone":"a",})",
          "NaN",
          R"({"[":"}","a":-})"};
}

std::string entry(const std::string &name, const std::string &spec) {
  return fmt::format(R"({{"meta":{{"name":"{}","revision":5}},"spec":{}}})",
                     name, spec);
}

const std::string Ready =
    R"({"service":"g","address":"127.0.0.1:1","zone":"z","state":"ready",)"
    R"("db_role":"replica","version":"v1","slots":2,"cold_ms":0,)"
    R"("sequence":1,"born":1})";

/// A store that gives the same response to all requests.
struct StoreFixture {
  asio::io_context Loop;
  tcp::acceptor Acceptor{Loop,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  HttpClient Client{Loop, Acceptor.local_endpoint()};
  Store Objects{Client};
  std::string Body;
  std::string Head;    ///< Of the last request.
  std::string Request; ///< First line of the last one.
  std::optional<proxy::ObjectPage> Page;

  StoreFixture() {
    Acceptor.async_accept([this](std::error_code, tcp::socket socket) {
      serve(std::make_shared<tcp::socket>(std::move(socket)),
            std::make_shared<std::string>());
    });
  }
  void serve(const std::shared_ptr<tcp::socket> &socket,
             const std::shared_ptr<std::string> &in) {
    asio::async_read_until(
        *socket, asio::dynamic_buffer(*in), "\r\n\r\n",
        [this, socket, in](std::error_code ec, std::size_t n) {
          if (ec)
            return;
          Head = in->substr(0, n);
          Request = in->substr(0, in->find("\r\n"));
          in->erase(0, n);
          asio::write(*socket, asio::buffer(fmt::format(
                                   "HTTP/1.1 200 OK\r\nContent-Length: "
                                   "{}\r\n\r\n{}",
                                   Body.size(), Body)));
          serve(socket, in);
        });
  }
  proxy::OnPage received() {
    return [this](proxy::ObjectPage it) { Page = std::move(it); };
  }
  /// \return the page of the call that was begun.
  proxy::ObjectPage page() {
    while (!Page)
      Loop.run_one();
    return *std::exchange(Page, std::nullopt);
  }
  proxy::ObjectPage list(const std::string &body) {
    Body = body;
    Objects.list(TargetKind, "", Limit, received());
    return page();
  }
  proxy::ObjectPage watch(const std::string &body) {
    Body = body;
    Objects.watch(TargetKind, 1, Limit, received());
    return page();
  }
  proxy::ObjectPage read(const std::string &body) {
    Body = body;
    Objects.read(TargetKind, "b", Limit, received());
    return page();
  }
};

std::string decodePercent(std::string_view text) {
  constexpr int Hex = 16;
  std::string out;
  for (std::size_t n = 0; n < text.size(); ++n)
    if (text[n] != '%')
      out += text[n];
    else {
      out += static_cast<char>(
          std::stoi(std::string(text.substr(n + 1, 2)), nullptr, Hex));
      n += 2;
    }
  return out;
}

/// \return the request target between \p before and \p after, decoded; empty
/// where the request has another form.
std::string nameIn(const std::string &head, const std::string &before,
                   const std::string &after) {
  auto line = head.substr(0, head.find("\r\n"));
  auto n = line.size() - std::min(line.size(), after.size());
  if (!line.starts_with(before) || !line.ends_with(after) || n < before.size())
    return {};
  auto name = line.substr(before.size(), n - before.size());
  return name.find_first_of("/?& #+") == std::string::npos ? decodePercent(name)
                                                           : std::string();
}

void checkUnreadable(const proxy::StoredObject &it) {
  CHECK(it.Name == "b");
  CHECK(it.Revision == 5);
  CHECK_FALSE(parseTarget(it, {}));
}

} // namespace

// Guards against one unreadable entry that hides all changes of the targets: a
// primary that leaves gets no successor.
TEST_CASE_FIXTURE(StoreFixture,
                  "list with an unreadable entry, the others are read") {
  for (const auto &spec : unreadableSpecs()) {
    CAPTURE(spec.substr(0, 20));
    auto out =
        list(R"({"items":[)" + entry("a", Ready) + "," + entry("b", spec) +
             "," + entry("c", Ready) + R"(],"has_more":true,"at_rev":9})");
    REQUIRE(out.Outcome == proxy::ReadOutcome::Done);
    CHECK(out.Revision == 9);
    CHECK(out.More);
    REQUIRE(out.Objects.size() == 3);
    CHECK(parseTarget(out.Objects[0], {}));
    checkUnreadable(out.Objects[1]);
    CHECK(parseTarget(out.Objects[2], {}));
  }
}

// Guards against a target that stays in use as it was before its entry became
// unreadable, on the daemons that watch only.
TEST_CASE_FIXTURE(StoreFixture,
                  "event with an unreadable entry, names the object") {
  for (const auto &spec : unreadableSpecs()) {
    CAPTURE(spec.substr(0, 20));
    auto out = watch(R"({"at_rev":9,"events":[{"object":)" + entry("b", spec) +
                     R"(,"deleted":false},{"object":)" + entry("c", Ready) +
                     R"(,"deleted":true}]})");
    REQUIRE(out.Outcome == proxy::ReadOutcome::Done);
    CHECK(out.Revision == 9);
    REQUIRE(out.Objects.size() == 2);
    checkUnreadable(out.Objects[0]);
    CHECK_FALSE(out.Objects[0].Deleted);
    CHECK(out.Objects[1].Deleted);
  }
}

TEST_CASE_FIXTURE(StoreFixture, "unreadable object, its revision is read") {
  for (const auto &spec : unreadableSpecs()) {
    CAPTURE(spec.substr(0, 20));
    auto out = read(entry("b", spec));
    REQUIRE(out.Outcome == proxy::ReadOutcome::Done);
    REQUIRE(out.Objects.size() == 1);
    checkUnreadable(out.Objects[0]);
  }
}

TEST_CASE_FIXTURE(StoreFixture,
                  "entry whose name cannot be read, the others are read") {
  auto out = list(
      R"({"at_rev":9,"items":[{"meta":{"name":1e999}},null,{"meta":1e999},)" +
      entry("c", Ready) + "]}");
  REQUIRE(out.Outcome == proxy::ReadOutcome::Done);
  REQUIRE(out.Objects.size() == 1);
  CHECK(out.Objects[0].Name == "c");
  CHECK(out.Nameless == 3);
  for (const char *name : {"\"\"", "\"\xff\"", "\"\\ud800\"", "7", "null"}) {
    CAPTURE(name);
    auto odd = list(fmt::format(R"({{"at_rev":9,"items":[{{"meta":{{)"
                                R"("name":{},"revision":5}}}},{}]}})",
                                name, entry("c", Ready)));
    CHECK(odd.Objects.size() == 1);
    CHECK(odd.Nameless == 1);
  }
}

// Guards against lists that the store refuses, or that never end.
TEST_CASE_FIXTURE(StoreFixture,
                  "name with other characters, is escaped in requests") {
  struct {
    const char *Name;
    const char *Escaped;
  } cases[] = {{"i-7f3a.b_c~D", "i-7f3a.b_c~D"},
               {"a b", "a%20b"},
               {"a&watch=1", "a%26watch%3D1"},
               {"100%41", "100%2541"},
               {"a?b#c+d/e", "a%3Fb%23c%2Bd%2Fe"},
               {"a\r\nHost: b", "a%0D%0AHost%3A%20b"},
               {"\xc3\xa4", "%C3%A4"}};
  Body = "{}";
  for (const auto &it : cases) {
    CAPTURE(it.Name);
    const std::string path = "/peridotfall/objects/servers";
    Objects.list(TargetKind, it.Name, Limit, received());
    page();
    CHECK(Request == "GET " + path + "?after=" + it.Escaped + " HTTP/1.1");
    Objects.read(TargetKind, it.Name, Limit, received());
    page();
    CHECK(Request == "GET " + path + "/" + it.Escaped + " HTTP/1.1");
    bool isDone = false;
    Objects.remove(TargetKind, it.Name, 5,
                   [&](proxy::CallOutcome) { isDone = true; });
    while (!isDone)
      Loop.run_one();
    CHECK(Request ==
          "DELETE " + path + "/" + it.Escaped + "?revision=5 HTTP/1.1");
  }
}

// A response that is cut off must not pass for a list without the rest.
TEST_CASE_FIXTURE(StoreFixture, "response cut off, counts as none") {
  auto body =
      R"({"at_rev":9,"items":[)" + entry("a", "1e999") + "," + entry("c", "{}");
  for (const auto &end : {"", "]", "]]}", "]}}", "]}]"}) {
    CAPTURE(end);
    CHECK(list(body + end).Outcome == proxy::ReadOutcome::Unavailable);
  }
}

// Guards against the name of one object that reads as the name of another one,
// as a query or as a second request.
TEST_CASE_FIXTURE(StoreFixture, "object's name, any text, is one part of the "
                                "request") {
  const std::string path = "/peridotfall/objects/servers";
  std::mt19937 random(1);
  for (int n = 0; n < 200; ++n) {
    auto name = "d-" + testing::drawText(random);
    CAPTURE(name);
    Objects.list(TargetKind, name, Limit, received());
    page();
    CHECK(nameIn(Head, "GET " + path + "?after=", " HTTP/1.1") == name);
    Objects.read(TargetKind, name, Limit, received());
    page();
    CHECK(nameIn(Head, "GET " + path + "/", " HTTP/1.1") == name);
    bool done = false;
    Objects.remove(TargetKind, name, 7,
                   [&](proxy::CallOutcome) { done = true; });
    while (!done)
      Loop.run_one();
    CHECK(nameIn(Head, "DELETE " + path + "/", "?revision=7 HTTP/1.1") == name);
  }
}
