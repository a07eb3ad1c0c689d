#include "proxy/object_packer.h"

#include "messages/compression.h"

#include <doctest/doctest.h>
#include <optional>
#include <random>
#include <string>

using namespace peridotfall;
using namespace peridotfall::proxy;
using messages::CachedObjectId;

namespace {

constexpr auto Kind = "configuration";
constexpr auto Name = "main";
constexpr std::size_t TextBytes = 100'000;

/// Random letters, which do not compress against each other.
std::string textOf(unsigned seed) {
  std::mt19937 random(seed);
  std::uniform_int_distribution<int> letter('a', 'z');
  std::string out;
  for (std::size_t n = 0; n < TextBytes; ++n)
    out += static_cast<char>(letter(random));
  return out;
}

/// A daemon that sends an object and one that has a version of it.
struct PackerFixture {
  ObjectPacker Packer;
  std::string Text = textOf(1);

  StoredObject version(std::uint64_t revision) const {
    auto spec = Text;
    spec.replace(TextBytes / 2, 2, std::to_string(10 + revision));
    return {Name, spec, revision, false};
  }
  std::string send(const StoredObject &object,
                   const std::vector<CachedObjectId> &held) {
    messages::WatchAnswer answer;
    answer.Changes.Outcome = ReadOutcome::Done;
    answer.Changes.Objects = {object};
    return messages::encode(answer, Packer.packerFor(Kind, held));
  }
  static std::optional<std::string> receive(const std::string &bytes,
                                            const StoredObject &held) {
    auto it = messages::decodeWatchAnswer(
        bytes, [&](const CachedObjectId &base) -> const std::string * {
          return base == CachedObjectId{held.Name, held.Revision} ? &held.Spec
                                                                  : nullptr;
        });
    if (!it)
      return std::nullopt;
    return it.value().Changes.Objects.at(0).Spec;
  }
};

} // namespace

TEST_CASE_FIXTURE(PackerFixture,
                  "large object, receiver holds an earlier version, is sent "
                  "the difference") {
  send(version(1), {});
  auto bytes = send(version(2), {{Name, 1}});
  CHECK(bytes.size() < TextBytes / 100);
  CHECK(receive(bytes, version(1)) == version(2).Spec);
}

TEST_CASE_FIXTURE(PackerFixture,
                  "large object, receiver holds a version not kept, is sent "
                  "whole") {
  for (std::uint64_t n = 1; n <= limits::KeptVersions + 1; ++n)
    send(version(n), {});
  auto last = version(limits::KeptVersions + 2);
  auto bytes = send(last, {{Name, 1}});
  CHECK(bytes.size() > TextBytes / 2);
  CHECK(receive(bytes, {}) == last.Spec);
}

// Guards against a difference that is applied to another text.
TEST_CASE_FIXTURE(PackerFixture,
                  "large object, receiver's version has changed meanwhile, is "
                  "rejected") {
  send(version(1), {});
  auto bytes = send(version(2), {{Name, 1}});
  CHECK_FALSE(receive(bytes, version(3)));
  auto other = version(1);
  other.Spec = textOf(2);
  CHECK_FALSE(receive(bytes, other));
}

TEST_CASE_FIXTURE(PackerFixture, "small object, is not packed") {
  StoredObject small{Name, "{}", 1, false};
  CHECK_FALSE(Packer.pack(Kind, small, {}));
}

TEST_CASE_FIXTURE(PackerFixture,
                  "receiver without support for packing, is sent the spec") {
  messages::WatchAnswer answer;
  answer.Changes.Outcome = ReadOutcome::Done;
  answer.Changes.Objects = {version(1)};
  CHECK(receive(messages::encode(answer), {}) == version(1).Spec);
  auto request = messages::decodeWatchRequest(
      messages::encode(messages::WatchRequest{Kind, 7, Duration{}}));
  REQUIRE(request);
  CHECK_FALSE(request.value().AcceptsPacked);
}

TEST_CASE("frame larger than the limit, is rejected") {
  auto frame = messages::compress(std::string(TextBytes, 'x'), "");
  REQUIRE(frame);
  CHECK_FALSE(messages::decompress(frame.value(), "", TextBytes - 1));
  CHECK(messages::decompress(frame.value(), "", TextBytes));
  CHECK_FALSE(messages::decompress("no frame", "", TextBytes));
}
