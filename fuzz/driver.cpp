/// \file
/// Mutates the inputs of a corpus with a seeded generator, so that a run is
/// the same each time and needs no fuzz engine.
///
/// Usage: NAME_fuzz CORPUS SEED COUNT FAILING
/// FAILING: file that holds the input under way, thus the one that failed.

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

constexpr std::size_t LongestInput = 1 << 16;
constexpr int MostMutations = 8;

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

std::size_t below(Random &random, std::size_t n) {
  return n == 0 ? 0 : static_cast<std::size_t>(random() % n);
}

/// Bytes on which parsers have been wrong before.
const std::string &fragment(Random &random) {
  static const std::vector<std::string> Fragments = {
      "\"",   "{",    "}",    "[",       "]",    ",",
      ":",    "-1",   "1e99", "null",    "\\u0", std::string(1, '\0'),
      "\xff", "\x80", "/",    "../",     ".",    "18446744073709551616",
      "0.5",  "true", "\r\n", "\xc3\x28"};
  return Fragments[below(random, Fragments.size())];
}

void mutate(std::string &it, const std::vector<std::string> &corpus,
            Random &random) {
  constexpr std::size_t Ways = 6;
  auto at = below(random, it.size() + 1);
  auto length = below(random, std::min<std::size_t>(it.size() - at, 64) + 1);
  switch (below(random, Ways)) {
  case 0:
    if (at < it.size())
      it[at] = static_cast<char>(it[at] ^ (1 << below(random, 8)));
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
    it.insert(at, fragment(random));
    break;
  default: {
    const auto &other = corpus[below(random, corpus.size())];
    it = it.substr(0, at) + other.substr(below(random, other.size() + 1));
  }
  }
  it.resize(std::min(it.size(), LongestInput));
}

void runNoted(const std::string &input, const std::string &noted) {
  std::ofstream(noted, std::ios::binary) << input;
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
    std::cerr << argv[1] << ": no inputs\n";
    return 2;
  }
  Random random(std::stoull(argv[2]));
  auto count = std::stoull(argv[3]);
  for (const auto &it : corpus)
    runNoted(it, argv[4]);
  for (std::uint64_t n = 0; n < count; ++n) {
    auto input = corpus[below(random, corpus.size())];
    for (int k = static_cast<int>(below(random, MostMutations)); k >= 0; --k)
      mutate(input, corpus, random);
    runNoted(input, argv[4]);
  }
  std::cout << corpus.size() << " inputs of the corpus and " << count
            << " mutations: none failed\n";
  return 0;
}
