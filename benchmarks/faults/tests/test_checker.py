"""Tests of the checker on handwritten histories, one per broken guarantee."""

import pytest

from benchmarks.faults import checker, histories
from hyssopshelf import exceptions, messages

DATABASE = "pool/db"
Operation = messages.Operation
ErrorKind = exceptions.ErrorKind


class Builder:
    """Builds the history of one database; each call advances the time."""

    def __init__(self):
        self.history = histories.History(end=1000.0)
        self.now = 0.0
        self.heads = {}

    def tick(self, seconds=1.0):
        self.now += seconds
        return self.now

    def append(self, label, key="k", term=1, parent=None, writes=None):
        """Append an entry to the log of a term."""
        head = self.heads.get(term) or parent
        position = messages.Position(term=term, index=(head.index if head else 0) + 1)
        self.history.entries.append(
            histories.LogEntry(
                database=DATABASE,
                endpoint="pool/db/a",
                position=position,
                parent=head,
                writes=((key, label),) if writes is None else writes,
                executed_at=self.tick(),
            )
        )
        self.heads[term] = position
        self.history.survivors[DATABASE] = position
        return position

    def request(self, operation, *, error=None, answered=True, **fields):
        """Add a request that is invoked and, unless told otherwise, answered now."""
        number = len(self.history.requests)
        request = histories.Request(
            **{
                "id": f"r{number}",
                "session": "s",
                "entry_host": "h",
                "database": DATABASE,
                "operation": operation,
                "key": "k",
                "invoked_at": self.tick(),
                "error": error,
                "answered_at": self.tick() if answered else None,
                "answers": int(answered),
                "answered_id": f"r{number}",
                **fields,
            }
        )
        self.history.requests.append(request)
        return request

    def write(self, label, **fields):
        """Add an acknowledged put and its log entry."""
        invoked = self.tick()
        log = {name: fields.pop(name) for name in ("term", "parent") if name in fields}
        position = self.append(label, **log)
        self.request(Operation.PUT, label=label, invoked_at=invoked, **fields)
        return position

    def read(self, *labels, **fields):
        """Add a read that returned the writes with these labels."""
        fields.setdefault("had_token", True)
        key = fields.get("key", "k")
        items = [histories.make_value(DATABASE, key, label) for label in labels]
        fields.setdefault("value", ",".join(items) or None)
        return self.request(Operation.GET, **fields)

    def execute(self, operation, connection="c", label="", key="k", **fields):
        """Add a request that an endpoint executed."""
        at = self.tick()
        self.history.executions.append(
            histories.Execution(
                **{
                    "endpoint": "pool/db/a",
                    "host": "h",
                    "incarnation": 1,
                    "connection": connection,
                    "operation": operation,
                    "key": key,
                    "label": label,
                    "sent_at": at,
                    "at": at,
                    "succeeded": True,
                    **fields,
                }
            )
        )

    def find_rules(self):
        return {violation.rule for violation in checker.check_history(self.history)}


def build_correct(b):
    b.write("w1")
    b.read("w1")
    second = b.write("w2")
    b.write("w3", term=2, parent=second)
    b.read("w3", session="other", consistency=messages.Consistency.STRONG)
    b.request(Operation.PUT, label="never", error=ErrorKind.NOT_RUN)
    b.request(Operation.BEGIN, transaction="t", key="")
    b.request(Operation.PUT, transaction="t", label="w4")
    b.append("w4", term=2)
    b.request(Operation.COMMIT, transaction="t", invoked_at=b.now - 0.5)
    b.execute(Operation.BEGIN)
    b.execute(Operation.PUT, label="w4")
    b.execute(Operation.COMMIT)


def build_stale_read(b):
    b.write("w1")
    b.write("w2")
    b.read("w1")


def build_empty_read(b):
    b.write("w1")
    b.read()


def build_non_monotonic_read(b):
    b.write("w1", session="writer")
    b.write("w2", session="writer")
    b.read("w2", had_token=False)
    b.read("w1")


def build_stale_read_of_other_key(b):
    # The later write of ``j`` makes the session depend on the second write of ``k``.
    b.write("w1", session="writer")
    b.write("w2", session="writer")
    b.append("w3", key="j")
    b.request(Operation.PUT, key="j", label="w3", invoked_at=b.now - 0.5)
    b.read("w1")


def build_discarded_state_read(b):
    first = b.write("w1")
    b.write("w2", acknowledge="confirmed")
    b.write("w3", term=2, parent=first, session="other")
    b.read("w3")


def build_read_of_old_branch_after_failover(b):
    # The new branch lacks the second write of the session, the old one the third.
    first = b.write("w1")
    b.write("w2", acknowledge="confirmed")
    b.write("w3", term=2, parent=first)
    b.read("w2")


def build_read_of_new_branch_after_failover(b):
    first = b.write("w1")
    b.write("w2", acknowledge="confirmed")
    b.write("w3", term=2, parent=first)
    b.read("w3")


def build_forged_token(b):
    b.write("w1")
    b.read("w1", session="other", forged=True)


def build_refused_token(b):
    b.read(error=ErrorKind.BAD_TOKEN, value=None)


def build_lost_majority_write(b):
    first = b.write("w1")
    b.write("w2")
    b.write("w3", term=2, parent=first, session="other")


def _add_promotion(b, term):
    b.history.promotions.append(
        histories.Promotion(
            database=DATABASE, endpoint=f"e{term}", term=term, at=b.tick()
        )
    )


def build_restored_majority_write(b, acknowledge="majority"):
    # Term 2 lacks the second write; term 3 starts from a log that contains it.
    first = b.write("w1", session="writer")
    second = b.write("w2", session="writer", acknowledge=acknowledge)
    _add_promotion(b, 2)
    b.append("w3", key="j", term=2, parent=first)
    b.tick(10)
    for consistency in (messages.Consistency.STRONG, messages.Consistency.BOUNDED):
        b.read("w1", session="reader", had_token=False, consistency=consistency)
    _add_promotion(b, 3)
    b.append("w4", key="j", term=3, parent=second)


def build_replaced_primary(b):
    first = b.write("w1")
    b.history.promotions.append(
        histories.Promotion(database=DATABASE, endpoint="b", term=2, at=b.tick())
    )
    b.append("w2", term=1)
    b.request(
        Operation.PUT, label="w2", acknowledge="confirmed", invoked_at=b.now - 0.5
    )
    b.append("w3", term=2, parent=first)


def _acknowledge_repeat(b, endpoint, kept):
    """Add a retry that is acknowledged in term 2 and lost in term 3."""
    first = b.write("w1")
    second = b.append("w2", term=1)
    b.history.promotions.append(
        histories.Promotion(database=DATABASE, endpoint="b", term=2, at=b.tick())
    )
    b.append("w3", key="j", term=2, parent=second if kept else first)
    b.request(
        Operation.PUT,
        label="w2",
        acknowledge="confirmed",
        idempotency_key="i2",
        endpoint=endpoint,
    )
    b.append("w4", key="j", term=3, parent=first)


def build_repeat_acknowledged_by_replaced_primary(b):
    _acknowledge_repeat(b, endpoint="a", kept=True)


def build_repeat_acknowledged_without_its_entry(b):
    _acknowledge_repeat(b, endpoint="b", kept=False)


def build_acknowledgement_without_entry(b):
    b.request(Operation.PUT, label="w1")


def build_two_logs(b):
    b.write("w1")
    b.heads.clear()
    b.write("w2")


def build_two_primaries(b):
    for endpoint in ("a", "b"):
        b.history.promotions.append(
            histories.Promotion(database=DATABASE, endpoint=endpoint, term=2, at=1.0)
        )


def build_shared_connection(b):
    for name in ("t", "u"):
        b.request(Operation.PUT, transaction=name, label=name)
    b.execute(Operation.BEGIN)
    b.execute(Operation.PUT, label="t")
    b.execute(Operation.PUT, label="u")


def build_plain_statement_in_transaction(b):
    b.request(Operation.PUT, transaction="t", label="t")
    b.execute(Operation.BEGIN)
    b.execute(Operation.PUT, label="t")
    b.execute(Operation.GET)


def build_statement_without_transaction(b):
    b.request(Operation.PUT, transaction="t", label="t")
    b.execute(Operation.PUT, label="t")


def build_begin_in_transaction(b):
    b.execute(Operation.BEGIN)
    b.execute(Operation.BEGIN)


def build_overlap(b):
    b.execute(Operation.GET)
    b.execute(Operation.GET, overlapped=True)


def build_mixed_entry(b):
    for name in ("t", "u"):
        b.request(Operation.PUT, transaction=name, label=name)
        b.request(Operation.COMMIT, transaction=name, answered=False)
    b.append("", writes=(("k", "t"), ("k", "u")))


def build_partial_transaction(b):
    for label in ("w1", "w2"):
        b.request(Operation.PUT, transaction="t", label=label)
    b.request(Operation.COMMIT, transaction="t", answered=False)
    b.append("w1")


def build_uncommitted_write(b):
    b.request(Operation.PUT, transaction="t", label="w1")
    b.append("w1")


def build_wrong_answer(b):
    b.request(Operation.PUT, label="w", error=ErrorKind.NOT_RUN, answered_id="r9")


def build_second_answer(b):
    b.request(Operation.PUT, label="w", error=ErrorKind.NOT_RUN, answers=2)


def build_value_of_other_key(b):
    b.write("w1")
    b.read(value=histories.make_value(DATABASE, "other", "w1"))


def build_truncated_value(b):
    b.write("w1")
    b.read(value=histories.make_value(DATABASE, "k", "w1")[:-3])


def build_incomplete_list(b):
    b.append("w1")
    b.append("w2")
    b.read("w2", "w1", had_token=False)


def build_unwritten_value(b):
    b.read("w9", had_token=False)


def build_denied_write(b, kind=ErrorKind.NOT_RUN):
    invoked = b.tick()
    b.append("w1")
    b.request(Operation.PUT, label="w1", error=kind, invoked_at=invoked)


def build_late_denied_write(b):
    b.request(Operation.APPEND, label="w1", error=ErrorKind.REFUSED)
    b.append("w1")


def build_denied_commit(b):
    b.request(Operation.PUT, transaction="t", label="w1")
    b.request(Operation.COMMIT, transaction="t", error=ErrorKind.CONFLICT)
    b.append("w1")


def build_duplicate_append(b):
    b.write("w1")
    b.append("w1")


def build_append_on_two_branches(b):
    first = b.append("w0")
    b.request(Operation.APPEND, label="w1", answered=False)
    b.append("w1")
    b.append("w1", term=2, parent=first)


def build_duplicate_keyed_append(b):
    b.request(Operation.APPEND, label="w1", idempotency_key="i", answered=False)
    b.append("w1")
    b.append("w1")


def build_old_bounded_read(b):
    b.write("w1")
    b.write("w2")
    b.tick(10)
    b.read(
        "w1",
        session="reader",
        had_token=False,
        consistency=messages.Consistency.BOUNDED,
        staleness_seconds=5.0,
    )


def build_stale_strong_read(b):
    b.write("w1")
    b.write("w2")
    b.read("w1", session="reader", consistency=messages.Consistency.STRONG)


def _accept_configuration(b, version, *leaving, change_ids=()):
    change = histories.ConfigurationAccepted(
        pool="pool",
        version=version,
        at=b.tick(),
        leaving=frozenset(leaving),
        change_ids=change_ids,
    )
    b.history.accepted.append(change)


def _use_configuration(b, version, incarnation=1):
    b.history.in_force.append(
        histories.ConfigurationInForce(
            host="h",
            incarnation=incarnation,
            pool="pool",
            version=version,
            at=b.now + 0.5,
        )
    )


def build_leaving_endpoint(b):
    _accept_configuration(b, 1, "pool/db/a")
    _use_configuration(b, 1)
    b.tick(5)
    b.execute(Operation.GET)


def build_drain_with_open_request(b):
    b.history.stopped.append(
        histories.Stopped(host="h", at=b.tick(), in_flight=("r1",))
    )


def build_late_configuration(b):
    _accept_configuration(b, 1)
    _use_configuration(b, 1)
    b.tick(10)
    _accept_configuration(b, 2)
    b.tick(7)
    _use_configuration(b, 2)


def build_reverted_configuration(b):
    _accept_configuration(b, 1)
    _accept_configuration(b, 2)
    _use_configuration(b, 2)
    b.tick()
    _use_configuration(b, 1)


def build_reverted_store(b):
    _accept_configuration(b, 2)
    _accept_configuration(b, 1)


def _add_change(b, error=None):
    change = histories.Change(id="edit", pool="pool", invoked_at=b.tick())
    attempt = histories.Attempt(sent_at=b.now, answered_at=b.tick(), error=error)
    change.attempts.append(attempt)
    b.history.changes.append(change)


def build_lost_change(b):
    _accept_configuration(b, 1)
    _add_change(b)


def build_denied_change(b):
    _accept_configuration(b, 1)
    _accept_configuration(b, 2, change_ids=("edit-1",))
    _add_change(b, ErrorKind.CONFLICT)


def build_duplicate_change(b):
    _accept_configuration(b, 1, change_ids=("edit-1",))
    _accept_configuration(b, 2)
    _accept_configuration(b, 3, change_ids=("edit-1",))
    _add_change(b)


def build_dropped_change(b):
    _accept_configuration(b, 1, change_ids=("edit-1",))
    _accept_configuration(b, 2, change_ids=("other-1",))


def build_stalled(b):
    b.history.stalled.append(DATABASE)


def build_crash(b):
    b.history.crashes.append("KeyError")


BROKEN = {
    build_stale_read: "session_went_back",
    build_empty_read: "session_went_back",
    build_non_monotonic_read: "session_went_back",
    build_stale_read_of_other_key: "session_went_back",
    build_discarded_state_read: "session_went_back",
    build_read_of_old_branch_after_failover: "session_went_back",
    build_read_of_new_branch_after_failover: "session_went_back",
    build_forged_token: "forged_token_accepted",
    build_refused_token: "genuine_token_refused",
    build_lost_majority_write: "majority_write_lost",
    build_restored_majority_write: "majority_write_lost",
    build_replaced_primary: "acknowledged_by_replaced_primary",
    build_repeat_acknowledged_by_replaced_primary: "acknowledged_by_replaced_primary",
    build_repeat_acknowledged_without_its_entry: "acknowledged_by_replaced_primary",
    build_acknowledgement_without_entry: "acknowledged_but_not_written",
    build_two_logs: "two_logs_in_one_term",
    build_two_primaries: "two_primaries_in_one_term",
    build_shared_connection: "transactions_share_connection",
    build_plain_statement_in_transaction: "transactions_share_connection",
    build_statement_without_transaction: "statement_outside_transaction",
    build_begin_in_transaction: "begin_inside_transaction",
    build_overlap: "requests_overlap_on_connection",
    build_mixed_entry: "transactions_mixed",
    build_partial_transaction: "transaction_in_parts",
    build_uncommitted_write: "write_left_transaction",
    build_wrong_answer: "answer_of_other_request",
    build_second_answer: "answered_twice",
    build_value_of_other_key: "value_of_other_request",
    build_truncated_value: "value_of_other_request",
    build_incomplete_list: "value_not_in_any_log",
    build_unwritten_value: "value_not_in_any_log",
    build_denied_write: "ran_after_not_run",
    build_late_denied_write: "ran_after_not_run",
    build_denied_commit: "ran_after_not_run",
    build_duplicate_append: "ran_twice",
    build_append_on_two_branches: "ran_twice",
    build_duplicate_keyed_append: "ran_twice",
    build_old_bounded_read: "read_older_than_bound",
    build_stale_strong_read: "strong_read_missed_write",
    build_leaving_endpoint: "work_sent_to_leaving_endpoint",
    build_drain_with_open_request: "drain_cut_requests",
    build_late_configuration: "configuration_late",
    build_reverted_configuration: "configuration_reverted",
    build_reverted_store: "store_reverted",
    build_lost_change: "acknowledged_change_not_accepted",
    build_denied_change: "denied_change_accepted",
    build_duplicate_change: "change_accepted_twice",
    build_dropped_change: "accepted_change_dropped",
    build_stalled: "no_recovery",
    build_crash: "core_raised",
}


def test_accepts_correct_history():
    # Guards against a check that reports an allowed history.
    builder = Builder()
    build_correct(builder)
    assert builder.find_rules() == set()


@pytest.mark.parametrize("build", BROKEN, ids=lambda build: build.__name__)
def test_finds_broken_guarantee(build):
    # Guards against a check that cannot fail.
    builder = Builder()
    build(builder)
    assert BROKEN[build] in builder.find_rules()


@pytest.mark.parametrize(
    "kind",
    [
        kind
        for kind, disposition in exceptions.DISPOSITIONS.items()
        if disposition.ran is exceptions.Ran.NO
    ],
)
def test_every_kind_that_denies_execution_is_checked(kind):
    # Guards against an error kind that denies execution but is not checked.
    builder = Builder()
    build_denied_write(builder, kind)
    assert "ran_after_not_run" in builder.find_rules()


def test_repeat_after_not_run_may_run():
    # Guards against attributing the entry of a retry to the refused attempt.
    builder = Builder()
    builder.request(Operation.APPEND, label="w1", error=ErrorKind.NOT_RUN)
    builder.write("w1")
    assert builder.find_rules() == set()


def test_repeat_is_allowed_at_the_primary_that_holds_its_first_outcome():
    # Seed 5017 (60 s, 18 callers): the primary of term 4 acknowledged a retry whose
    # entry was in its log under term 2. A later term lost the entry, which the mode
    # ``confirmed`` allows.
    builder = Builder()
    _acknowledge_repeat(builder, endpoint="b", kept=True)
    assert builder.find_rules() == set()


def test_lost_confirmed_write_is_allowed_before_the_promotion():
    # Guards against a check that is stricter than the mode ``confirmed``.
    builder = Builder()
    first = builder.write("w1")
    builder.write("w2", acknowledge="confirmed", session="other")
    builder.history.promotions.append(
        histories.Promotion(
            database=DATABASE, endpoint="b", term=2, at=builder.tick(10)
        )
    )
    builder.append("w3", term=2, parent=first)
    assert builder.find_rules() == set()


def test_read_may_lack_a_confirmed_write_that_its_term_discarded():
    # Guards against requiring a read to see a write that only a later term restored.
    builder = Builder()
    build_restored_majority_write(builder, acknowledge="confirmed")
    assert builder.find_rules() == set()


def test_unreachable_node_may_be_late():
    # Guards against reporting a node that was unreachable.
    builder = Builder()
    build_late_configuration(builder)
    span = histories.Unreachable(host="h", start=13.0, end=14.0)
    builder.history.unreachable.append(span)
    assert builder.find_rules() == set()


def test_value_round_trip():
    # Guards against a value format in which an answer to another request looks valid.
    first = histories.make_value(DATABASE, "k", "a")
    second = histories.make_value(DATABASE, "k", "b")
    assert histories.parse_value(DATABASE, "k", f"{first},{second}") == ["a", "b"]
    assert histories.parse_value(DATABASE, "j", first) is None
    assert histories.parse_value(DATABASE, "k", first + ",") is None
