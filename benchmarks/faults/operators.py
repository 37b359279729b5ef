"""Simulated operators that change the configuration, often concurrently."""

import itertools
import random
from collections.abc import Callable

import attrs

from benchmarks.faults import histories, nodes
from hyssopshelf import base, exceptions
from hyssopshelf.configuration import declarations, documents, requests, resources

ATTEMPTS = 5
"""Maximum number of attempts to send one change."""

WAIT_SECONDS = 5.5
"""Time an operator waits for an answer."""

RETRY_SECONDS = 1.0


@attrs.define(kw_only=True)
class Operators:
    """Operators of one pool; a change keeps its id when it is retried."""

    pool: str
    partners: tuple[str, ...]
    random: random.Random
    context: nodes.RunContext
    _numbers: itertools.count = attrs.field(factory=itertools.count, init=False)

    def edit(self) -> None:
        """Let two or three operators change the split concurrently."""
        for _ in range(self.random.randint(2, 3)):
            # With equal shares the second edit would alter nothing.
            share = self.random.uniform(0.1, 0.9)
            shares = dict(zip(self.partners, (share, 1.0 - share), strict=True))
            spec = resources.SplitSpec(capacity=shares, bill=shares)
            delay = self.random.uniform(0.0, 0.1)

            def make_spec(old, spec=spec):
                return spec

            self.context.loop.call_later(
                delay, self._start, resources.ResourceKind.SPLIT, "split", make_spec
            )

    def set_leaving(self, endpoint: str, leaving: bool) -> None:
        """Declare an endpoint as leaving, or as not leaving."""
        _, database, name = endpoint.split("/")

        def make_spec(old: resources.PoolSpec) -> resources.PoolSpec:
            changed = tuple(
                attrs.evolve(
                    spec,
                    endpoints=tuple(
                        attrs.evolve(item, leaving=leaving)
                        if item.name == name
                        else item
                        for item in spec.endpoints
                    ),
                )
                if spec.name == database
                else spec
                for spec in old.databases
            )
            return attrs.evolve(old, databases=changed)

        self._start(
            resources.ResourceKind.POOL, self.pool, make_spec, (endpoint, leaving)
        )

    def _start(
        self,
        kind: resources.ResourceKind,
        name: str,
        make_spec: Callable,
        leaving: tuple[str, bool] | None = None,
    ) -> None:
        change = histories.Change(
            id=f"change{next(self._numbers)}",
            pool=self.pool,
            invoked_at=self.context.loop.now,
            leaving=leaving,
        )
        self.context.history.changes.append(change)
        held = self._read(kind, name)
        resource = attrs.evolve(held, spec=make_spec(held.spec))
        self._send(change, resource, ATTEMPTS)

    def _read(self, kind: resources.ResourceKind, name: str) -> resources.Resource:
        """Return a resource from the stored document, as the operator read it."""
        entry = self.context.store.entries[documents.key_of(self.pool)]
        document = declarations.decode_document(entry.value)
        return next(
            item
            for item in document.resources
            if (item.kind, item.name) == (kind, name)
        )

    def _send(
        self, change: histories.Change, resource: resources.Resource, attempts: int
    ) -> None:
        hosts = sorted(
            name
            for name, process in self.context.nodes.items()
            if process.alive and process.core.board.configuration_ready
        )
        if not hosts or not attempts:
            return
        process = self.context.nodes[self.random.choice(hosts)]
        caller = f"operator{next(self._numbers)}"
        attempt = histories.Attempt(sent_at=self.context.loop.now)
        change.attempts.append(attempt)

        def receive(answer: requests.ApiAnswer | None) -> None:
            if self.context.replies.pop(caller, None) is None:
                return
            if answer is not None:
                attempt.answered_at = self.context.loop.now
                attempt.error = answer.error
            if _may_retry(answer):
                self.context.loop.call_later(
                    RETRY_SECONDS, self._send, change, resource, attempts - 1
                )

        self.context.replies[caller] = receive
        request = requests.Apply(
            pool=self.pool, change_id=change.id, resources=(resource,)
        )
        event = base.ResourceRequested(caller=caller, request=request)
        incarnation = process.incarnation

        def deliver() -> None:
            if process.incarnation == incarnation:
                process.handle(event)

        self.context.loop.call_later(0.003, deliver)
        self.context.loop.call_later(WAIT_SECONDS, receive, None)


def _may_retry(answer: requests.ApiAnswer | None) -> bool:
    """Return whether a change may be retried after an answer or a timeout."""
    if answer is None:
        return True
    if answer.error is None:
        return False
    disposition = exceptions.DISPOSITIONS[answer.error]
    return disposition.repeatable or disposition.ran is exceptions.Ran.UNKNOWN
