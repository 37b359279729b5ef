"""Stateful test that injects faults into nodes and endpoints in any order."""

import hypothesis
from hypothesis import stateful, strategies

from benchmarks.faults import plan, simulation

JOIN_SECONDS = 2.5
"""Time for the nodes to join and to receive their first snapshot, in seconds."""

SETTLE_SECONDS = 8.0
"""Time under load after the last fault, in seconds."""


class CoreMachine(stateful.RuleBasedStateMachine):
    """Run three nodes, two databases and five callers on a virtual clock."""

    @stateful.initialize(seed=strategies.integers(min_value=0, max_value=9999))
    def start(self, seed):
        self.world = simulation.Simulation(
            simulation.Options(seed=seed, hosts=3, callers=5)
        )
        self.world.start()
        self.world.loop.run_until(JOIN_SECONDS)

    @stateful.rule(
        name=strategies.sampled_from(sorted(set(plan.FAULTS))),
        seconds=strategies.sampled_from((0.3, 1.2, 3.0, 6.0)),
    )
    def begin_fault(self, name, seconds):
        self.world.injector.begin(name, seconds)

    @stateful.rule(seconds=strategies.sampled_from((0.1, 0.7, 2.5)))
    def advance(self, seconds):
        self.world.loop.run_until(self.world.loop.now + seconds)

    def teardown(self):
        """Guards against a guarantee that is violated after a sequence of faults."""
        if not hasattr(self, "world"):
            return
        end = self.world.loop.now + plan.OVERRUN_SECONDS + SETTLE_SECONDS
        self.world.loop.run_until(end)
        assert self.world.finish().violations == []


TestCoreMachine = CoreMachine.TestCase
TestCoreMachine.settings = hypothesis.settings(
    max_examples=12,
    stateful_step_count=12,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
