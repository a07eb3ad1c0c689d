/// \file
/// A switch for each safeguard, so that a test can show which guarantee is
/// violated without it.

#ifndef PERIDOTFALL_PROOF_SAFEGUARDS_H
#define PERIDOTFALL_PROOF_SAFEGUARDS_H

namespace peridotfall::proof {

struct Safeguards {
  /// A write is answered once a replica has it.
  bool Confirmation = true;
  /// The primary's status is checked after the replica's, in the same round.
  bool PrimaryStatusChecked = true;
  /// The confirming replica's last record must be of the write's term.
  bool LastRecordTerm = true;
  /// Logs are compared by term and length, not by length alone.
  bool PositionsWithTerms = true;
  /// Each promotion writes a record of its term.
  bool StartOfTermRecord = true;
  /// Targets refuse lower terms.
  bool Fencing = true;
  /// The primary checks the key before it runs a statement.
  bool IdempotencyCheck = true;
  /// A write without a key is never sent again after an unknown outcome.
  bool NoBlindRepeat = true;
  /// Replicas that are behind the requested position refuse reads.
  bool NotBefore = true;
  /// A replica's answer must be of the current term.
  bool ReplicaTerm = true;
  /// After an unknown outcome, a session reads from the primary only.
  bool PrimaryOnly = true;
  /// Reads at the primary are confirmed too.
  bool ReadsConfirmed = true;
  /// "Not run" is never answered after bytes were sent.
  bool TruthfulNotRun = true;
  /// An answer's id must be the request's.
  bool AnswerIdChecked = true;
  /// A connection is dropped when an answer did not arrive.
  bool ConnectionDropped = true;
  /// The term of a transaction is sent with each of its statements.
  bool TransactionTerm = true;
  /// A daemon never installs an older configuration.
  bool RevisionNeverFalls = true;
  /// After a lost answer of the platform, the changed object is read back.
  bool LostAnswerReadBack = true;
  /// A leaving replica gets no new reads.
  bool LeavingTargetAvoided = true;
  /// A shutdown waits for the requests in flight.
  bool DrainWaits = true;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_SAFEGUARDS_H
