"""A dispatcher with a few upstreams and a manual clock."""

import random

from benchmarks import scenario
from citronvalve.model import declared
from citronvalve.model import invariant
from citronvalve.model import load
from citronvalve.policy import decision
from citronvalve.policy import dispatcher
from citronvalve.policy import outcome
from citronvalve.policy import work

DATACENTRES = ("a", "b")


class Harness:
    """Drives a dispatcher and records its decisions.

    :param names: upstreams; the first letter is the data centre.
    :param invariants: counts the checks of invariants.
    """

    def __init__(self, names, invariants=None, seed=1):
        self.now = 1_000
        self.invariants = invariants or invariant.Invariants()
        self.dispatcher = dispatcher.Dispatcher(
            "a", random.Random(seed), self.invariants
        )
        rows = [
            declared.Upstream(
                name,
                name[0],
                "10.0.0.1:80",
                declared.UpstreamKind.ENGINE,
                ("m",),
                slots=4,
                ramp=10_000,
            )
            for name in names
        ]
        self.table = scenario.table()._replace(
            upstream_by_name={row.name: row for row in rows},
            datacentre_by_name={
                n: declared.Datacentre(n) for n in DATACENTRES
            },
        )
        self.starts = {}
        self.refused = {}
        self.count = 0
        self.dispatcher.apply_table(self.table, self.now)

    def set_datacentre_state(self, datacentre, state):
        rows = dict(self.table.datacentre_by_name)
        rows[datacentre] = rows[datacentre]._replace(state=state)
        self.table = self.table._replace(datacentre_by_name=rows)
        self.dispatcher.apply_table(self.table, self.now)

    def report(self, name, start_id="1", capacity=4, running=0, missing=()):
        self.dispatcher.observe(
            load.LoadReport(
                name, start_id, running, 0, capacity, self.now, tuple(missing)
            ),
            self.now,
        )

    def submit(
        self, repeatable=True, time_left=5_000, fingerprint="", team="t1"
    ):
        self.count += 1
        item = work.Work(
            f"r{self.count}",
            team,
            "m",
            self.now + time_left,
            fingerprint=fingerprint,
            repeatable=repeatable,
        )
        verdict = self.dispatcher.submit(item, self.now)
        if isinstance(verdict, decision.Start):
            self.apply((verdict,))
        return verdict

    def end(self, ticket, result):
        del self.starts[ticket]
        decisions = self.dispatcher.finished(
            ticket, outcome.Outcome(result), self.now
        )
        self.apply(decisions)

    def tick(self, span=0):
        self.now += span
        self.apply(self.dispatcher.tick(self.now))

    def apply(self, decisions):
        for decided in decisions:
            if isinstance(decided, decision.Start):
                assert decided.ticket not in self.starts, decided
                self.starts[decided.ticket] = decided
            elif isinstance(decided, decision.Refuse):
                assert decided.request not in self.refused, decided
                self.refused[decided.request] = decided.refusal
