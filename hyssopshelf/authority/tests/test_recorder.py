"""Tests of concurrent changes of several databases, and of late writes."""

import asyncio
import types

import attrs
import result

from hyssopshelf import kvstore
from hyssopshelf.authority import assignments, recorder


@attrs.frozen(kw_only=True)
class Failure:
    """An error answer of the store."""

    status: int
    reason: str = ""


class FakeStore:
    """A store whose calls take time, and that can lose answers and delay calls."""

    def __init__(self) -> None:
        self.era = None
        self.revision = 10
        self.entry: kvstore.Entry | None = None
        self.record_revision = 7
        self.delays: list[float] = []
        self.lost_answers = 0
        self.late_writes: list = []

    async def get(self, key):
        await asyncio.sleep(0.001)
        return result.Ok(self.entry)

    async def change(self, expected, writes):
        if self.delays == [float("inf")]:
            self.delays.clear()
            self.late_writes.append((expected, writes))
            return result.Err(Failure(status=599, reason="no answer"))
        await asyncio.sleep(self.delays.pop(0) if self.delays else 0.001)
        answer = self.apply(expected, writes)
        if self.lost_answers:
            self.lost_answers -= 1
            return result.Err(Failure(status=599, reason="no answer"))
        return answer

    def apply(self, expected, writes):
        revisions = {
            assignments.COORDINATOR_KEY: self.record_revision,
            assignments.ASSIGNMENTS_KEY: self.entry.revision if self.entry else 0,
        }
        if any(revisions[key] != revision for key, revision in expected.items()):
            return result.Err(Failure(status=412))
        self.revision += 1
        ((key, value),) = writes.items()
        self.entry = kvstore.Entry(key=key, value=value, revision=self.revision)
        return result.Ok(self.revision)

    @property
    def databases(self):
        return assignments.decode_assignments(self.entry.value).databases


def make_recorder(store) -> recorder.AssignmentRecorder:
    local_coordinator = types.SimpleNamespace(
        local_member=types.SimpleNamespace(assignments=assignments.Assignments()),
        revision=store.record_revision,
        store=store,
    )
    return recorder.AssignmentRecorder(coordinator=local_coordinator, revision=0)


def make_entry(endpoint: str, version: int = 1) -> assignments.Assignment:
    return assignments.Assignment(endpoint=endpoint, term=1, version=version)


def test_changes_at_the_same_time_are_all_kept():
    """Each change writes the whole document and must include the others' results."""

    async def scenario():
        store = FakeStore()
        store.delays = [0.02, 0.01, 0.005]
        assignment_recorder = make_recorder(store)
        written = await asyncio.gather(
            *(
                assignment_recorder.record(f"db{n}", make_entry(f"e{n}"))
                for n in range(3)
            )
        )
        assert written == [True] * 3
        assert store.databases == {f"db{n}": make_entry(f"e{n}") for n in range(3)}
        assert (
            assignment_recorder.coordinator.local_member.assignments.databases
            == store.databases
        )

    asyncio.run(scenario())


def test_a_late_write_does_not_undo_a_newer_one():
    async def scenario():
        store = FakeStore()
        assignment_recorder = make_recorder(store)
        assert await assignment_recorder.record("db", make_entry("old"))
        store.delays = [float("inf")]
        assert not await assignment_recorder.record("db", make_entry("late", 2))
        assert await assignment_recorder.record("db", make_entry("new", 3))
        for expected, writes in store.late_writes:
            assert store.apply(expected, writes).is_err()
        assert store.databases == {"db": make_entry("new", 3)}

    asyncio.run(scenario())


def test_a_write_whose_answer_was_lost_does_not_stop_the_next_one():
    async def scenario():
        store = FakeStore()
        assignment_recorder = make_recorder(store)
        store.lost_answers = 1
        assert not await assignment_recorder.record("db", make_entry("one"))
        assert await assignment_recorder.record("db", make_entry("two", 2))
        assert store.databases == {"db": make_entry("two", 2)}

    asyncio.run(scenario())


def test_a_replaced_coordinator_writes_nothing():
    async def scenario():
        store = FakeStore()
        assignment_recorder = make_recorder(store)
        assert await assignment_recorder.record("db", make_entry("one"))
        store.record_revision += 1
        assert not await assignment_recorder.record("db", make_entry("two", 2))
        assert not await assignment_recorder.save()
        assert store.databases == {"db": make_entry("one")}

    asyncio.run(scenario())
