/// \file
/// SQLite in memory behind a log of committed transactions. The log can be
/// cut back and the store built anew from it.

#ifndef PERIDOTFALL_TESTS_STANDIN_SQL_STORE_H
#define PERIDOTFALL_TESTS_STANDIN_SQL_STORE_H

#include "peridotfall/statement.h"

#include <memory>
#include <optional>
#include <sqlite3.h>
#include <string>
#include <vector>

namespace peridotfall::standin {

struct LoggedStatement {
  std::string Sql;
  Row Params;

  bool operator==(const LoggedStatement &) const = default;
};

/// What a committed transaction did. No statements: a start-of-term record.
struct Record {
  Position At;
  std::vector<LoggedStatement> Statements;

  bool operator==(const Record &) const = default;
};

struct SqlResult {
  std::string Error; ///< Empty: it ran.
  bool Busy = false; ///< A lock was in the way; nothing ran.
  std::vector<std::string> Columns;
  std::vector<Row> Rows;
  std::int64_t Changes = 0;
  bool Writes = false;
};

/// One SQLite connection.
class SqlSession {
public:
  explicit SqlSession(const std::string &uri);

  /// Runs one statement of a caller; transaction control, ATTACH and PRAGMA
  /// are refused. \param mayWrite refuse a statement that writes if false.
  SqlResult run(const LoggedStatement &statement, bool mayWrite);
  /// Runs a statement of our own, unchecked.
  SqlResult execute(const std::string &sql);

private:
  struct Close {
    void operator()(sqlite3 *it) const { sqlite3_close(it); }
  };
  SqlResult execute(const LoggedStatement &statement, bool mayWrite);

  std::unique_ptr<sqlite3, Close> Db;
  bool IsRestricted = false;
};

/// The answer stored under an idempotency key, and what it was for.
struct StoredAnswer {
  std::string Digest;
  std::string Answer;
};

class SqlStore {
public:
  SqlStore();

  std::unique_ptr<SqlSession> open() const;
  /// Applies a record of another target's log.
  void apply(const Record &record);
  /// Drops all and applies these records anew.
  void rebuild(const std::vector<Record> &records);
  SqlSession &writer() { return *Writer; }

private:
  void begin();

  std::string Uri;
  std::unique_ptr<SqlSession> Writer;
};

/// The statement that stores an answer under its key.
LoggedStatement makeKeyInsert(const std::string &key, const StoredAnswer &stored);
/// \return what is stored under a key, as the session sees it.
std::optional<StoredAnswer> findKey(SqlSession &session,
                                    const std::string &key);

} // namespace peridotfall::standin

#endif // PERIDOTFALL_TESTS_STANDIN_SQL_STORE_H
