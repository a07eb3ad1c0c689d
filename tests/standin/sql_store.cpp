#include "standin/sql_store.h"

#include "base/encoding.h"

#include <fmt/format.h>
#include <stdexcept>
#include <type_traits>

namespace peridotfall::standin {

namespace {

constexpr auto KeyTable = "CREATE TABLE peridotfall_keys(key TEXT PRIMARY KEY,"
                          " digest TEXT NOT NULL, answer TEXT NOT NULL)";

void bind(sqlite3_stmt *statement, int n, const Value &value) {
  std::visit(
      [&](const auto &it) {
        using T = std::decay_t<decltype(it)>;
        if constexpr (std::is_same_v<T, std::int64_t>)
          sqlite3_bind_int64(statement, n, it);
        else if constexpr (std::is_same_v<T, double>)
          sqlite3_bind_double(statement, n, it);
        else if constexpr (std::is_same_v<T, std::string>)
          sqlite3_bind_text64(statement, n, it.data(), it.size(),
                              SQLITE_TRANSIENT, SQLITE_UTF8);
        else if constexpr (std::is_same_v<T, Blob>)
          sqlite3_bind_blob64(statement, n, it.Bytes.data(), it.Bytes.size(),
                              SQLITE_TRANSIENT);
        else
          sqlite3_bind_null(statement, n);
      },
      value);
}

Value column(sqlite3_stmt *statement, int n) {
  auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement, n));
  switch (sqlite3_column_type(statement, n)) {
  case SQLITE_INTEGER:
    return std::int64_t{sqlite3_column_int64(statement, n)};
  case SQLITE_FLOAT:
    return sqlite3_column_double(statement, n);
  case SQLITE_TEXT:
    return std::string(
        reinterpret_cast<const char *>(sqlite3_column_text(statement, n)),
        size);
  case SQLITE_BLOB:
    return Blob{std::string(
        static_cast<const char *>(sqlite3_column_blob(statement, n)), size)};
  default:
    return Null{};
  }
}

/// Denies callers' statements that act on more than themselves: a COMMIT would
/// end a transaction without a record in the log.
int authorize(void *isRestricted, int action, const char *, const char *,
              const char *, const char *) {
  if (!*static_cast<bool *>(isRestricted))
    return SQLITE_OK;
  switch (action) {
  case SQLITE_TRANSACTION:
  case SQLITE_SAVEPOINT:
  case SQLITE_ATTACH:
  case SQLITE_DETACH:
  case SQLITE_PRAGMA:
    return SQLITE_DENY;
  default:
    return SQLITE_OK;
  }
}

SqlResult failed(std::string why) {
  SqlResult it;
  it.Error = std::move(why);
  return it;
}

} // namespace

SqlSession::SqlSession(const std::string &uri) {
  sqlite3 *db = nullptr;
  int rc = sqlite3_open_v2(
      uri.c_str(), &db,
      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_URI, nullptr);
  Db.reset(db);
  if (rc != SQLITE_OK)
    throw std::runtime_error("cannot open SQLite in memory");
  sqlite3_set_authorizer(db, authorize, &IsRestricted);
}

SqlResult SqlSession::run(const LoggedStatement &statement, bool mayWrite) {
  IsRestricted = true;
  auto out = execute(statement, mayWrite);
  IsRestricted = false;
  return out;
}

SqlResult SqlSession::runUnrestricted(const std::string &sql) {
  return execute({sql, {}}, true);
}

SqlResult SqlSession::execute(const LoggedStatement &statement, bool mayWrite) {
  sqlite3_stmt *raw = nullptr;
  const char *tail = nullptr;
  const auto &sql = statement.Sql;
  int rc = sqlite3_prepare_v2(Db.get(), sql.c_str(),
                              static_cast<int>(sql.size() + 1), &raw, &tail);
  std::unique_ptr<sqlite3_stmt, int (*)(sqlite3_stmt *)> prepared(
      raw, sqlite3_finalize);
  if (rc != SQLITE_OK)
    return failed(sqlite3_errmsg(Db.get()));
  if (!prepared)
    return failed("no statement");
  if (std::string(tail).find_first_not_of(" \t\r\n;") != std::string::npos)
    return failed("more than one statement");
  if (sqlite3_bind_parameter_count(raw) !=
      static_cast<int>(statement.Params.size()))
    return failed(fmt::format("{} parameters expected, {} given",
                              sqlite3_bind_parameter_count(raw),
                              statement.Params.size()));
  SqlResult out;
  out.Writes = sqlite3_stmt_readonly(raw) == 0;
  if (out.Writes && !mayWrite)
    return failed("a read that would write");
  for (std::size_t n = 0; n < statement.Params.size(); ++n)
    bind(raw, static_cast<int>(n + 1), statement.Params[n]);
  int columns = sqlite3_column_count(raw);
  for (int n = 0; n < columns; ++n)
    out.Columns.emplace_back(sqlite3_column_name(raw, n));
  while ((rc = sqlite3_step(raw)) == SQLITE_ROW) {
    Row row;
    for (int n = 0; n < columns; ++n)
      row.push_back(column(raw, n));
    out.Rows.push_back(std::move(row));
  }
  if (rc != SQLITE_DONE) {
    out.Error = sqlite3_errmsg(Db.get());
    out.Busy = rc == SQLITE_BUSY || rc == SQLITE_LOCKED;
  }
  if (out.Writes)
    out.Changes = sqlite3_changes64(Db.get());
  return out;
}

SqlStore::SqlStore() { begin(); }

void SqlStore::begin() {
  Writer.reset();
  Uri = fmt::format("file:/{}?vfs=memdb", randomHex(8));
  Writer = open();
  Writer->runUnrestricted(KeyTable);
}

std::unique_ptr<SqlSession> SqlStore::open() const {
  return std::make_unique<SqlSession>(Uri);
}

void SqlStore::apply(const Record &record) {
  if (record.Statements.empty())
    return;
  Writer->runUnrestricted("BEGIN IMMEDIATE");
  for (const auto &it : record.Statements) {
    auto result = Writer->run(it, true);
    if (!result.Error.empty())
      throw std::runtime_error("cannot apply log record: " + result.Error);
  }
  Writer->runUnrestricted("COMMIT");
}

void SqlStore::rebuild(const std::vector<Record> &records) {
  begin();
  for (const auto &it : records)
    apply(it);
}

LoggedStatement makeKeyInsert(const std::string &key,
                              const StoredAnswer &stored) {
  return {"INSERT INTO peridotfall_keys(key, digest, answer) VALUES(?, ?, ?)",
          {key, stored.Digest, stored.Answer}};
}

std::optional<StoredAnswer> findKey(SqlSession &session,
                                    const std::string &key) {
  auto result = session.run(
      {"SELECT digest, answer FROM peridotfall_keys WHERE key = ?", {key}},
      false);
  if (result.Rows.empty())
    return std::nullopt;
  return StoredAnswer{std::get<std::string>(result.Rows[0][0]),
                      std::get<std::string>(result.Rows[0][1])};
}

} // namespace peridotfall::standin
