#include "daemon/owner_pool.h"

#include <algorithm>

namespace peridotfall {

namespace {

WorkClass classOf(const OwnedWork &work) {
  if (work.inTransaction())
    return WorkClass::Continuing;
  const auto *kind = findKind(work.Database, work.Request.Kind);
  bool ofRecord =
      work.Request.Mode == Access::Write || (kind && kind->OfRecord);
  return ofRecord ? WorkClass::Record : WorkClass::Lookup;
}

} // namespace

std::uint32_t maxOpenTransactions(const OwnerPool &pool) {
  return pool.MaxConnections > pool.Target.Slots
             ? pool.MaxConnections - pool.Target.Slots
             : 1;
}

WorkItem workItemOf(const OwnedWork &work, const OwnerPool &pool) {
  return {work.Request.Caller, classOf(work),
          pool.Estimates.estimate(workKey(work.Request)), work.Deadline};
}

bool leavesConnectionUsable(const StatementAnswer &answer) {
  return answer.Effect != Outcome::Unknown &&
         answer.Code != AnswerCode::Unavailable;
}

bool endsTransaction(const StatementRequest &request,
                     const StatementAnswer &answer) {
  bool closes = request.What == Verb::Commit || request.What == Verb::Rollback;
  return !leavesConnectionUsable(answer) ||
         answer.Code == AnswerCode::TransactionGone ||
         answer.Code == AnswerCode::Fenced ||
         answer.Code == AnswerCode::NotPrimary ||
         (closes && answer.Effect == Outcome::Done);
}

} // namespace peridotfall
