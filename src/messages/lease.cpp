#include "messages/lease.h"

#include "messages/lease.pb.h"
#include "messages/time.h"

#include <algorithm>

namespace peridotfall::messages {

namespace {

Error malformed() {
  return {ErrorCode::Invalid, "inner message: malformed or value out of range"};
}

/// \return whether the number is a value of the enumeration.
template <class E> bool parseEnum(std::uint32_t n, E last, E &out) {
  out = static_cast<E>(n);
  return n <= static_cast<std::uint32_t>(last);
}

void toProto(lease::LogPosition *out, const Position &it) {
  out->set_term(it.InTerm);
  out->set_index(it.Index);
}

Position fromProto(const lease::LogPosition &it) {
  return {it.term(), it.index()};
}

void toProto(lease::PreparedBody *out, const proxy::PreparedStatement &it) {
  out->set_writes(it.Writes);
  out->set_shape(it.Shape);
}

proxy::PreparedStatement fromProto(const lease::PreparedBody &it) {
  return {it.writes(), it.shape()};
}

void toProto(lease::Statement *out, const proxy::Statement &it) {
  out->set_kind(static_cast<std::uint32_t>(it.Kind));
  out->set_id(it.Id);
  out->set_text(it.Text);
  out->set_name(it.Name);
  out->set_argument(it.Argument);
  toProto(out->mutable_body(), it.Body);
  if (it.NotBefore)
    toProto(out->mutable_not_before(), *it.NotBefore);
}

bool fromProto(const lease::Statement &in, proxy::Statement &out) {
  out.Id = in.id();
  out.Text = in.text();
  out.Name = in.name();
  out.Argument = in.argument();
  out.Body = fromProto(in.body());
  if (in.has_not_before())
    out.NotBefore = fromProto(in.not_before());
  return parseEnum(in.kind(), proxy::StatementKind::Unknown, out.Kind);
}

void toProto(lease::Batch *out, const proxy::Batch &it) {
  for (const auto &[name, value] : it.Session) {
    auto *next = out->add_session();
    next->set_name(name);
    next->set_value(value);
  }
  for (const auto &body : it.RequiredPrepared)
    toProto(out->add_needs(), body);
  for (const auto &statement : it.Statements)
    toProto(out->add_statements(), statement);
  out->set_ends_lease(it.EndsLease);
  out->set_patience_us(toMicros(it.Timeout));
}

bool fromProto(const lease::Batch &in, proxy::Batch &out) {
  for (const auto &value : in.session())
    out.Session[value.name()] = value.value();
  for (const auto &body : in.needs())
    out.RequiredPrepared.push_back(fromProto(body));
  for (const auto &statement : in.statements())
    if (!fromProto(statement, out.Statements.emplace_back()))
      return false;
  out.EndsLease = in.ends_lease();
  out.Timeout = fromMicros(in.patience_us());
  return !out.Statements.empty();
}

void toProto(lease::StatementError *out, const proxy::StatementError &it) {
  out->set_kind(static_cast<std::uint32_t>(it.Kind));
  out->set_detail(it.Detail);
}

bool fromProto(const lease::StatementError &in, proxy::StatementError &out) {
  out.Detail = in.detail();
  return parseEnum(in.kind(), proxy::ErrorKind::KeyUnknown, out.Kind);
}

void toProto(lease::Answer *out, const proxy::Answer &it) {
  for (const auto &row : it.Rows)
    out->add_rows(row);
  out->set_signature(it.Signature);
  if (it.Error)
    toProto(out->mutable_error(), *it.Error);
  out->set_state(static_cast<std::uint32_t>(it.State));
  if (it.At)
    toProto(out->mutable_at(), *it.At);
  if (!it.Status)
    return;
  out->mutable_status()->set_primary(it.Status->IsPrimary);
  out->mutable_status()->set_term(it.Status->CurrentTerm);
  toProto(out->mutable_status()->mutable_received(), it.Status->Received);
}

bool fromProto(const lease::Answer &in, proxy::Answer &out) {
  out.Rows.assign(in.rows().begin(), in.rows().end());
  out.Signature = in.signature();
  if (in.has_error() && !fromProto(in.error(), out.Error.emplace()))
    return false;
  if (in.has_at())
    out.At = fromProto(in.at());
  if (in.has_status())
    out.Status = {in.status().primary(), in.status().term(),
                  fromProto(in.status().received())};
  return parseEnum(in.state(), proxy::TransactionState::Failed, out.State);
}

void toProto(lease::WriteHold *out, const proxy::WriteHold &it) {
  out->set_group(it.Group.Value);
  out->set_leadership(it.Id.Leadership);
  out->set_count(it.Id.Count);
  if (!it.Target.empty())
    out->set_target(it.Target.Value);
  out->set_ends(it.Ends);
}

proxy::WriteHold fromProto(const lease::WriteHold &it) {
  return {proxy::GroupName(it.group()),
          {it.leadership(), it.count()},
          TargetName(it.target()),
          it.ends()};
}

} // namespace

std::string encode(const BeginLease &it) {
  lease::BeginLease out;
  out.set_target(it.Request.Target.Value);
  out.set_priority(it.Request.Priority);
  out.set_wait_us(toMicros(it.Request.Wait));
  out.set_total_us(toMicros(it.Request.Total));
  if (it.Request.GoalLeft)
    out.set_goal_left_us(std::chrono::duration_cast<std::chrono::microseconds>(
                             *it.Request.GoalLeft)
                             .count());
  if (it.NamesAccount)
    out.set_account(it.Request.Account.Value);
  toProto(out.mutable_first(), it.First);
  return out.SerializeAsString();
}

Result<BeginLease> decodeBeginLease(const std::string &bytes) {
  lease::BeginLease in;
  BeginLease out;
  if (!in.ParseFromString(bytes) || !fromProto(in.first(), out.First))
    return malformed();
  out.Request = {TargetName(in.target()),
                 in.priority(),
                 fromMicros(in.wait_us()),
                 fromMicros(in.total_us()),
                 {},
                 AccountName(in.account())};
  out.NamesAccount = in.has_account();
  if (in.has_goal_left_us())
    out.Request.GoalLeft = fromSignedMicros(in.goal_left_us());
  return out;
}

std::string encode(const RunLease &it) {
  lease::RunLease out;
  out.set_lease(it.Lease.Lease.Value);
  out.set_process(it.Lease.Holder.Value);
  toProto(out.mutable_next(), it.Next);
  return out.SerializeAsString();
}

Result<RunLease> decodeRunLease(const std::string &bytes) {
  lease::RunLease in;
  RunLease out;
  if (!in.ParseFromString(bytes) || !fromProto(in.next(), out.Next))
    return malformed();
  out.Lease = {{in.process()}, {in.lease()}};
  return out;
}

std::string encode(const AbandonLease &it) {
  lease::AbandonLease out;
  out.set_lease(it.Lease.Lease.Value);
  out.set_process(it.Lease.Holder.Value);
  return out.SerializeAsString();
}

Result<AbandonLease> decodeAbandonLease(const std::string &bytes) {
  lease::AbandonLease in;
  if (!in.ParseFromString(bytes))
    return malformed();
  return AbandonLease{{{in.process()}, {in.lease()}}};
}

std::string encode(const LeaseAnswer &it) {
  lease::BatchResult out;
  out.set_end(static_cast<std::uint32_t>(it.Result.End));
  for (const auto &answer : it.Result.Answers)
    toProto(out.add_answers(), answer);
  toProto(out.mutable_why(), it.Result.Error);
  if (it.Result.LeaseKept) {
    out.set_lease(it.Lease.Lease.Value);
    out.set_process(it.Lease.Holder.Value);
  }
  out.set_target_unreachable(it.Result.TargetUnreachable);
  out.set_queue_full(it.Result.QueueFull);
  if (it.Result.Load) {
    out.set_queued(it.Result.Load->Queued);
    out.set_answer_time_us(toMicros(it.Result.Load->AnswerTime));
  }
  if (it.Result.RetryAfter)
    out.set_retry_after_us(toMicros(*it.Result.RetryAfter));
  return out.SerializeAsString();
}

Result<LeaseAnswer> decodeLeaseAnswer(const std::string &bytes) {
  lease::BatchResult in;
  LeaseAnswer out;
  bool fits = in.ParseFromString(bytes) &&
              parseEnum(in.end(), proxy::BatchEnd::Lost, out.Result.End) &&
              fromProto(in.why(), out.Result.Error);
  for (const auto &answer : in.answers())
    fits = fits && fromProto(answer, out.Result.Answers.emplace_back());
  if (!fits)
    return malformed();
  if (in.lease() != 0)
    out.Lease = {{in.process()}, {in.lease()}};
  out.Result.LeaseKept = out.Lease.valid();
  out.Result.TargetUnreachable = in.target_unreachable();
  out.Result.QueueFull = in.queue_full();
  if (in.has_queued())
    out.Result.Load = {in.queued(), fromMicros(in.answer_time_us())};
  if (in.has_retry_after_us())
    out.Result.RetryAfter = fromMicros(in.retry_after_us());
  return out;
}

std::string encode(const LeaderQuery &it) {
  lease::LeadQuestion out;
  out.set_group(it.Group.Value);
  return out.SerializeAsString();
}

Result<LeaderQuery> decodeLeaderQuery(const std::string &bytes) {
  lease::LeadQuestion in;
  if (!in.ParseFromString(bytes))
    return malformed();
  return LeaderQuery{proxy::GroupName(in.group())};
}

std::string encode(const LeaderView &it) {
  lease::LeadView out;
  out.set_known(it.GroupKnown);
  out.set_reaches(it.PrimaryReachable);
  return out.SerializeAsString();
}

Result<LeaderView> decodeLeaderView(const std::string &bytes) {
  lease::LeadView in;
  if (!in.ParseFromString(bytes))
    return malformed();
  return LeaderView{in.known(), in.reaches()};
}

std::string encode(const proxy::WriteHold &it) {
  lease::WriteHold out;
  toProto(&out, it);
  return out.SerializeAsString();
}

Result<proxy::WriteHold> decodeWriteHold(const std::string &bytes) {
  lease::WriteHold in;
  if (!in.ParseFromString(bytes) || in.group().empty())
    return malformed();
  return fromProto(in);
}

std::string encode(const proxy::HoldList &it) {
  lease::WriteHolds out;
  out.set_leadership(it.Leadership);
  for (const auto &hold : it.Holds)
    toProto(out.add_holds(), hold);
  return out.SerializeAsString();
}

Result<proxy::HoldList> decodeHoldList(const std::string &bytes) {
  lease::WriteHolds in;
  if (!in.ParseFromString(bytes))
    return malformed();
  proxy::HoldList out;
  out.Leadership = in.leadership();
  for (const auto &hold : in.holds())
    out.Holds.push_back(fromProto(hold));
  return out;
}

} // namespace peridotfall::messages
