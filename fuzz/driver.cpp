/// \file
/// Mutates the inputs of a corpus with a seeded generator: runs are
/// reproducible and need no fuzzing engine.
///
/// Usage: NAME_fuzz CORPUS SEED COUNT FAILING
/// FAILING: file that each input is written to before it runs, so that it has
/// the one that failed.

#include "fuzz.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <vector>

namespace {

using Random = std::mt19937_64;

constexpr std::size_t MaxInputBytes = 1 << 16;
constexpr int MaxMutations = 8;

std::vector<std::string> readCorpus(const std::string &folder) {
  std::vector<std::filesystem::path> files;
  for (const auto &it : std::filesystem::directory_iterator(folder))
    files.push_back(it.path());
  std::sort(files.begin(), files.end());
  std::vector<std::string> out;
  for (const auto &it : files) {
    std::ifstream in(it, std::ios::binary);
    out.emplace_back(std::istreambuf_iterator<char>(in),
                     std::istreambuf_iterator<char>());
  }
  return out;
}

std::size_t randomBelow(Random &random, std::size_t n) {
  return n == 0 ? 0 : static_cast<std::size_t>(random() % n);
}

/// \return a token or byte sequence on which parsers have failed before.
const std::string &randomFragment(Random &random) {
  static const std::vector<std::string> Fragments = {
      "\"",   "{",    "}",    "[",       "]",    ",",
      ":",    "-1",   "1e99", "null",    "\\u0", std::string(1, '\0'),
      "\xff", "\x80", "/",    "../",     ".",    "18446744073709551616",
      "0.5",  "true", "\r\n", "\xc3\x28"};
  return Fragments[randomBelow(random, Fragments.size())];
}

void mutate(std::string &it, const std::vector<std::string> &corpus,
            Random &random) {
  constexpr std::size_t MutationKinds = 6;
  auto at = randomBelow(random, it.size() + 1);
  auto length =
      randomBelow(random, std::min<std::size_t>(it.size() - at, 64) + 1);
  switch (randomBelow(random, MutationKinds)) {
  case 0:
    if (at < it.size())
      it[at] = static_cast<char>(it[at] ^ (1 << randomBelow(random, 8)));
    break;
  case 1:
    if (at < it.size())
      it[at] = static_cast<char>(random());
    break;
  case 2:
    it.erase(at, length);
    break;
  case 3:
    it.insert(at, it.substr(at, length));
    break;
  case 4:
    it.insert(at, randomFragment(random));
    break;
  default: {
    const auto &other = corpus[randomBelow(random, corpus.size())];
    it = it.substr(0, at) + other.substr(randomBelow(random, other.size() + 1));
  }
  }
  it.resize(std::min(it.size(), MaxInputBytes));
}

void runRecorded(const std::string &input, const std::string &failingPath) {
  std::ofstream(failingPath, std::ios::binary) << input;
  peridotfall::fuzz::runOne(input);
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 5) {
    std::cerr << "usage: " << argv[0] << " CORPUS SEED COUNT FAILING\n";
    return 2;
  }
  auto corpus = readCorpus(argv[1]);
  if (corpus.empty()) {
    std::cerr << argv[1] << ": empty corpus\n";
    return 2;
  }
  Random random(std::stoull(argv[2]));
  auto count = std::stoull(argv[3]);
  for (const auto &it : corpus)
    runRecorded(it, argv[4]);
  for (std::uint64_t n = 0; n < count; ++n) {
    auto input = corpus[randomBelow(random, corpus.size())];
    for (int k = static_cast<int>(randomBelow(random, MaxMutations)); k >= 0;
         --k)
      mutate(input, corpus, random);
    runRecorded(input, argv[4]);
  }
  std::cout << corpus.size() << " inputs of the corpus and " << count
            << " mutations: none failed\n";
  return 0;
}
