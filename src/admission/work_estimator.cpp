#include "peridotfall/admission.h"

#include <cctype>

namespace peridotfall {

namespace {

/// Weight of a new observation: the estimate follows a target that becomes
/// slow within about ten statements, and one outlier changes it little.
constexpr double NewWeight = 0.15;
bool isWordChar(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_';
}

std::size_t endOfLiteral(const std::string &sql, std::size_t n) {
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
    bool inWord = !out.empty() && isWordChar(out.back());
    if (c == '\'') {
      out += '?';
      n = endOfLiteral(sql, n);
    } else if (!inWord && std::isdigit(static_cast<unsigned char>(c)) != 0) {
      out += '?';
      while (n < sql.size() && (isWordChar(sql[n]) || sql[n] == '.'))
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

/// A statement without an estimate counts as long: otherwise an unknown long
/// one, and others like it until the first has ended, would take the slot
/// reserved for short work. A short statement counts as long only until it has
/// run once.
WorkEstimate WorkEstimator::estimate(const std::string &key) const {
  auto it = MeanTimes.find(key);
  if (it == MeanTimes.end())
    return {MedianTime.Value, true};
  return {it->second, static_cast<double>(it->second.count()) >
                          limits::LongFactor *
                              static_cast<double>(MedianTime.Value.count())};
}

void WorkEstimator::observe(const std::string &key, Duration took) {
  if (MeanTimes.size() >= limits::MaxEstimates && MeanTimes.count(key) == 0)
    MeanTimes.clear();
  auto [it, isNew] = MeanTimes.try_emplace(key, took);
  if (!isNew)
    it->second = Duration(static_cast<Duration::rep>(
        (1 - NewWeight) * static_cast<double>(it->second.count()) +
        NewWeight * static_cast<double>(took.count())));
  MedianTime.add(took);
}

} // namespace peridotfall
