/// \file
/// The safeguards, each with a switch, so that a test can show the promise
/// broken without it.

#ifndef PERIDOTFALL_PROOF_SAFEGUARDS_H
#define PERIDOTFALL_PROOF_SAFEGUARDS_H

namespace peridotfall::proof {

struct Safeguards {
  bool Confirmation = true;       ///< A replica holds it before the answer.
  bool PrimaryAskedAgain = true;  ///< After the replica, in the same round.
  bool LastRecordTerm = true;     ///< Of the replica that confirms.
  bool PositionsWithTerms = true; ///< Not by length alone.
  bool StartOfTermRecord = true;  ///< Written by each promotion.
  bool Fencing = true;            ///< Targets refuse lower terms.
  bool IdempotencyCheck = true;   ///< At the primary, before it runs.
  bool NoBlindRepeat = true;      ///< Without a key, never sent twice.
  bool NotBefore = true;          ///< Replicas that are behind refuse.
  bool ReplicaTerm = true;        ///< A replica's answer is of the term.
  bool PrimaryOnly = true;        ///< After an unknown outcome.
  bool ReadsConfirmed = true;     ///< Reads at the primary, too.
  bool TruthfulNotRun = true;     ///< Never after bytes have left.
  bool AnswerIdChecked = true;    ///< Against the request's.
  bool ConnectionDropped = true;  ///< After an answer that did not come.
  bool TransactionTerm = true;    ///< Sent with each of its statements.
  bool RevisionNeverFalls = true; ///< At a daemon.
  bool LostAnswerReadBack = true; ///< Of a change at the platform.
  bool LeavingTargetAvoided = true;
  bool DrainWaits = true; ///< For requests under way.
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_SAFEGUARDS_H
