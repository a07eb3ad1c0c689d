"""Judges what targets ran by what callers sent and what they were answered.

Knows nothing of the daemons. The names of the findings are those of the users'
rules. Texts are Latin-1, one character for each byte.
"""

import collections

PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}
RUN_BY_TARGETS = ("READ", "WRITE", "EXECUTE", "COMMIT")
# A target that answers one of these has not run the statement.
NOT_RUN = {"BUSY", "LAGGING", "READONLY", "MALFORMED", "ABORTED"}
MOST_SHOWN = 200  # Characters of an example.


class Attempt:
    """An operation as its caller sees it: a statement or a transaction."""

    def __init__(self, kind):
        self.kind = kind  # "single", "BEGIN" or "BEGIN READ".
        self.writes = []  # Data of its writes, different for each one.
        self.asked_commit = kind == "single"
        self.outcome = "unknown"  # Or "refused", or "acknowledged".
        self.first = None  # Request of the first statement for a target.
        self.transaction = None  # At the target that answered the first one.


Sent = collections.namedtuple("Sent", "text attempt values body")
Ran = collections.namedtuple("Ran", "rows signature transaction")


def verb(text):
    return text.split(" ", 1)[0]


class Judge:
    def __init__(self):
        self.sent = {}  # By request.
        self.ran = {}  # Successes of targets, by request.
        self.attempts = []
        self.inside = {}  # Attempts by the transaction in which they ran.
        self.findings = {}  # Rule -> [count, first example].
        self.judged = 0

    def find(self, rule, what, *details):
        shown = " ".join(ascii(it)[:MOST_SHOWN] for it in details)
        self.findings.setdefault(rule, [0, f"{what}: {shown}"])[0] += 1

    def begin(self, kind):
        self.attempts.append(Attempt(kind))
        return self.attempts[-1]

    def note_sent(self, request, text, attempt, values, body):
        """`values` were acknowledged to the caller, and `body` (mode, shape) is
        what it has prepared under the name that it executes."""
        self.sent[request] = Sent(text, attempt, values, body)
        if verb(text) in RUN_BY_TARGETS and not attempt.first:
            attempt.first = request

    def note_answer(self, request, rows, signature, code):
        """What a caller was answered."""
        sent = self.sent[request]
        if code in PROMISES:
            sent.attempt.outcome = "refused"
        if code == "NOSTMT" and sent.body:
            self.find("PINNED", "a prepared name is unknown", request, sent.text)
        if code or verb(sent.text) not in RUN_BY_TARGETS:
            return
        ran = [
            it
            for it in self.ran.get(request, [])
            if (it.rows, it.signature) == (rows, signature)
        ]
        if not ran:
            self.find("MIXED", "not a target's answer", request, sent.text, rows)
        elif request == sent.attempt.first:
            sent.attempt.transaction = ran[0].transaction
        single = sent.attempt.kind == "single"
        if single or verb(sent.text) == "COMMIT":
            sent.attempt.outcome = "acknowledged"

    def note_run(self, session, transaction, request, text, answer):
        """What a target has run or refused."""
        if request == "-":
            self._judge_own(transaction, text)
            return
        sent = self.sent.get(request)
        if not sent:
            self.find("UNASKED", "no caller sent this", request, text)
            return
        self.judged += 1
        if text.startswith("AFTER ") and verb(sent.text) in ("READ", "EXECUTE"):
            text = text.split(" ", 2)[2]
        changed = text != sent.text
        if verb(text) == verb(sent.text) == "EXECUTE":
            changed = text.split(" ")[2:] != sent.text.split(" ")[2:]
        if changed:
            self.find("UNASKED", "sent and ran", request, sent.text, text)
        if answer.code in NOT_RUN or verb(sent.text) not in RUN_BY_TARGETS:
            return
        if not answer.code:
            ran = Ran(answer.rows, answer.signature, transaction)
            self.ran.setdefault(request, []).append(ran)
        if verb(sent.text) == "EXECUTE":
            body = session.prepared.get(text.split(" ")[1])
            if body != sent.body or not body:
                self.find(
                    "PINNED", "prepared and ran", request, text, sent.body, body
                )
        if session.values != sent.values:
            self.find(
                *("PINNED", "values acknowledged and at the target"),
                *(request, sent.values, session.values),
            )
        self._judge_transaction(sent, transaction, request)

    def _judge_own(self, transaction, text):
        """The proxy's own statements."""
        if verb(text) in ("WRITE", "EXECUTE"):
            self.find("UNASKED", "sent by the proxy", text)
        if text == "COMMIT" and self.inside.get(transaction):
            self.find("UNASKED", "committed by the proxy", text)

    def _judge_transaction(self, sent, transaction, request):
        attempt = sent.attempt
        if transaction:
            inside = self.inside.setdefault(transaction, set())
            inside.add(attempt)
            if len(inside) > 1:
                self.find("PINNED", "in another's transaction", request, sent.text)
        if attempt.kind == "single":
            return
        # A BEGIN READ may run in a plain one, which proves that its target leads.
        if not transaction or (attempt.kind == "BEGIN" and not transaction.plain):
            self.find("PINNED", "outside its transaction", request, sent.text)
        elif request != attempt.first and transaction is not attempt.transaction:
            self.find("PINNED", "on another connection", request, sent.text)

    def judge_log(self, log):
        """Compares what is kept in the end with what callers were promised."""
        kept = collections.Counter(data for _, _, _, data in log)
        known = set()
        for attempt in self.attempts:
            for data in attempt.writes:
                known.add(data)
                n = kept[data]
                if n > 1:
                    self.find("TWICE", f"kept {n} times", data)
                if n and attempt.outcome == "refused":
                    self.find("REFUSED", "refused and kept", data)
                if n and not attempt.asked_commit:
                    self.find("UNASKED", "kept, no commit was asked for", data)
                if not n and attempt.outcome == "acknowledged":
                    self.find("LOST", "acknowledged and not kept", data)
        for data in kept:
            if data not in known:
                self.find("UNASKED", "no caller wrote this", data)
