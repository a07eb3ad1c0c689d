/// \file
/// In-memory SQLite database behind a log of committed transactions. The store
/// can be rebuilt from a truncated log.

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

/// The statements of a committed transaction; none in a start-of-term record.
struct Record {
  Position At;
  std::vector<LoggedStatement> Statements;

  bool operator==(const Record &) const = default;
};

struct SqlResult {
  std::string Error; ///< Empty if the statement ran.
  bool Busy = false; ///< Nothing ran because of a lock.
  std::vector<std::string> Columns;
  std::vector<Row> Rows;
  std::int64_t Changes = 0;
  bool Writes = false;
};

/// One SQLite connection.
class SqlSession {
public:
  explicit SqlSession(const std::string &uri);

  /// Runs one statement of a caller. Rejects transaction control, ATTACH and
  /// PRAGMA. \param mayWrite if false, rejects a statement that writes.
  SqlResult run(const LoggedStatement &statement, bool mayWrite);
  /// Runs a statement of the stand-in itself, without these restrictions.
  SqlResult runUnrestricted(const std::string &sql);

private:
  struct Close {
    void operator()(sqlite3 *it) const { sqlite3_close(it); }
  };
  SqlResult execute(const LoggedStatement &statement, bool mayWrite);

  std::unique_ptr<sqlite3, Close> Db;
  bool IsRestricted = false;
};

/// The answer stored under an idempotency key, and the digest of its statement.
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
  /// Drops all data and applies \p records.
  void rebuild(const std::vector<Record> &records);
  SqlSession &writer() { return *Writer; }

private:
  void begin();

  std::string Uri;
  std::unique_ptr<SqlSession> Writer;
};

/// \return the statement that stores an answer under its key.
LoggedStatement makeKeyInsert(const std::string &key,
                              const StoredAnswer &stored);
/// \return the answer stored under \p key that is visible to the session.
std::optional<StoredAnswer> findKey(SqlSession &session,
                                    const std::string &key);

} // namespace peridotfall::standin

#endif // PERIDOTFALL_TESTS_STANDIN_SQL_STORE_H
