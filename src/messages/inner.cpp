#include "messages/inner.h"

#include "messages/time.h"

#include <chrono>
#include <type_traits>

namespace peridotfall::messages {

namespace {

void toProto(inner::Position *out, const Position &it) {
  out->set_term(it.InTerm);
  out->set_index(it.Index);
}

Position fromProto(const inner::Position &it) {
  return {it.term(), it.index()};
}

void toProto(inner::Value *out, const Value &it) {
  std::visit(
      [&](const auto &v) {
        using T = std::decay_t<decltype(v)>;
        if constexpr (std::is_same_v<T, std::int64_t>)
          out->set_integer(v);
        else if constexpr (std::is_same_v<T, double>)
          out->set_real(v);
        else if constexpr (std::is_same_v<T, std::string>)
          out->set_text(v);
        else if constexpr (std::is_same_v<T, Blob>)
          out->set_blob(v.Bytes);
      },
      it);
}

Value fromProto(const inner::Value &it) {
  switch (it.kind_case()) {
  case inner::Value::kInteger:
    return std::int64_t{it.integer()};
  case inner::Value::kReal:
    return it.real();
  case inner::Value::kText:
    return it.text();
  case inner::Value::kBlob:
    return Blob{it.blob()};
  case inner::Value::KIND_NOT_SET:
    break;
  }
  return Null{};
}

void toProto(inner::Row *out, const Row &row) {
  for (const auto &it : row)
    toProto(out->add_values(), it);
}

Row fromProto(const inner::Row &row) {
  Row out;
  out.reserve(static_cast<std::size_t>(row.values_size()));
  for (const auto &it : row.values())
    out.push_back(fromProto(it));
  return out;
}

Error malformed() {
  return {ErrorCode::Invalid, "inner message: malformed or value out of range"};
}

} // namespace

std::string encode(const StatementRequest &it) {
  inner::StatementRequest out;
  out.set_id(it.Id.Value);
  out.set_verb(static_cast<std::uint32_t>(it.What));
  out.set_database(it.Database.Value);
  out.set_target(it.Target.Value);
  out.set_caller(it.Caller.Value);
  out.set_kind(it.Kind.Value);
  out.set_access(static_cast<std::uint32_t>(it.Mode));
  out.set_term(it.InTerm);
  toProto(out.mutable_not_before(), it.NotBefore);
  out.set_max_age_us(toMicros(it.MaxAge));
  out.set_sql(it.Sql);
  toProto(out.mutable_params(), it.Params);
  out.set_key(it.Key);
  out.set_repeatable(it.Repeatable);
  out.set_transaction(it.Transaction);
  out.set_budget_us(toMicros(it.Budget));
  out.set_traceparent(it.Traceparent);
  out.set_primary_only(it.PrimaryOnly);
  return out.SerializeAsString();
}

Result<StatementRequest> decodeStatementRequest(const std::string &bytes) {
  inner::StatementRequest in;
  if (!in.ParseFromString(bytes) ||
      in.verb() > static_cast<std::uint32_t>(Verb::Rollback) ||
      in.access() > static_cast<std::uint32_t>(Access::StaleRead))
    return malformed();
  StatementRequest it;
  it.Id = {in.id()};
  it.What = static_cast<Verb>(in.verb());
  it.Database = DatabaseName(in.database());
  it.Target = TargetName(in.target());
  it.Caller = CallerName(in.caller());
  it.Kind = KindName(in.kind());
  it.Mode = static_cast<Access>(in.access());
  it.InTerm = in.term();
  it.NotBefore = fromProto(in.not_before());
  it.MaxAge = fromMicros(in.max_age_us());
  it.Sql = in.sql();
  it.Params = fromProto(in.params());
  it.Key = in.key();
  it.Repeatable = in.repeatable();
  it.Transaction = in.transaction();
  it.Budget = fromMicros(in.budget_us());
  it.Traceparent = in.traceparent();
  it.PrimaryOnly = in.primary_only();
  return it;
}

std::string encode(const StatementAnswer &it) {
  inner::StatementAnswer out;
  out.set_id(it.Id.Value);
  out.set_outcome(static_cast<std::uint32_t>(it.Effect));
  out.set_code(static_cast<std::uint32_t>(it.Code));
  out.set_detail(it.Detail);
  for (const auto &column : it.Columns)
    out.add_columns(column);
  for (const auto &row : it.Rows)
    toProto(out.add_rows(), row);
  out.set_changes(it.Changes);
  toProto(out.mutable_at(), it.At);
  out.set_served_by(it.ServedBy.Value);
  out.set_primary(it.Primary.Value);
  out.set_age_us(toMicros(it.Age));
  out.set_replayed(it.Replayed);
  out.set_transaction(it.Transaction);
  out.set_has_retry_after(it.RetryAfter.has_value());
  out.set_retry_after_us(toMicros(it.RetryAfter.value_or(Duration{})));
  return out.SerializeAsString();
}

Result<StatementAnswer> decodeStatementAnswer(const std::string &bytes) {
  inner::StatementAnswer in;
  if (!in.ParseFromString(bytes) ||
      in.outcome() > static_cast<std::uint32_t>(Outcome::Unknown) ||
      in.code() > static_cast<std::uint32_t>(AnswerCode::Busy))
    return malformed();
  StatementAnswer it;
  it.Id = {in.id()};
  it.Effect = static_cast<Outcome>(in.outcome());
  it.Code = static_cast<AnswerCode>(in.code());
  it.Detail = in.detail();
  it.Columns.assign(in.columns().begin(), in.columns().end());
  for (const auto &row : in.rows())
    it.Rows.push_back(fromProto(row));
  it.Changes = in.changes();
  it.At = fromProto(in.at());
  it.ServedBy = TargetName(in.served_by());
  it.Primary = TargetName(in.primary());
  it.Age = fromMicros(in.age_us());
  it.Replayed = in.replayed();
  it.Transaction = in.transaction();
  if (in.has_retry_after())
    it.RetryAfter = fromMicros(in.retry_after_us());
  return it;
}

} // namespace peridotfall::messages
