#include "peridotfall/admission.h"

#include <cctype>

namespace peridotfall {

namespace {

/// Weight of a new observation: a target that turns slow is noticed within
/// about ten statements, and one odd statement moves little.
constexpr double NewWeight = 0.15;
bool isWord(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_';
}

std::size_t endOfText(const std::string &sql, std::size_t n) {
  for (++n; n < sql.size(); ++n)
    if (sql[n] == '\'')
      return n + 1;
  return n;
}

} // namespace

std::string normaliseSql(const std::string &sql) {
  std::string out;
  std::size_t n = 0;
  while (n < sql.size()) {
    char c = sql[n];
    bool inWord = !out.empty() && isWord(out.back());
    if (c == '\'') {
      out += '?';
      n = endOfText(sql, n);
    } else if (!inWord && std::isdigit(static_cast<unsigned char>(c)) != 0) {
      out += '?';
      while (n < sql.size() && (isWord(sql[n]) || sql[n] == '.'))
        ++n;
    } else if (std::isspace(static_cast<unsigned char>(c)) != 0) {
      if (!out.empty() && out.back() != ' ')
        out += ' ';
      ++n;
    } else {
      out += c;
      ++n;
    }
  }
  return out;
}

std::string workKey(const StatementRequest &request) {
  switch (request.What) {
  case Verb::Begin:
    return "begin";
  case Verb::Commit:
    return "commit";
  case Verb::Rollback:
    return "rollback";
  case Verb::Statement:
    break;
  }
  return request.Kind.Value + "\n" + normaliseSql(request.Sql);
}

/// Load: a long statement that was never seen. Harm: it takes the slot kept
/// for short work, and so do its like until the first of them has ended.
/// Reason: what is not known to be short counts as long; for a short statement
/// that lasts as long as it takes to run once.
WorkEstimate WorkEstimator::estimate(const std::string &key) const {
  auto it = Means.find(key);
  if (it == Means.end())
    return {Typical.Value, true};
  return {it->second,
          static_cast<double>(it->second.count()) >
              limits::LongFactor * static_cast<double>(Typical.Value.count())};
}

void WorkEstimator::observe(const std::string &key, Duration took) {
  if (Means.size() >= limits::MaxEstimates && Means.count(key) == 0)
    Means.clear();
  auto [it, isNew] = Means.try_emplace(key, took);
  if (!isNew)
    it->second = Duration(static_cast<Duration::rep>(
        (1 - NewWeight) * static_cast<double>(it->second.count()) +
        NewWeight * static_cast<double>(took.count())));
  Typical.add(took);
}

} // namespace peridotfall
