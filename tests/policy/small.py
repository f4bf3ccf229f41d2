"""A dispatcher over a few upstreams, with time set by hand."""

import random

from benchmarks import scenario
from citronvalve.model import declared
from citronvalve.model import invariant
from citronvalve.model import load
from citronvalve.policy import decision
from citronvalve.policy import dispatcher
from citronvalve.policy import outcome
from citronvalve.policy import work

PLACES = ("a", "b")


class Small:
    """Carries out nothing by itself; keeps what was decided.

    :param names: upstreams; the first letter is the data centre.
    :param checks: where promises are counted.
    """

    def __init__(self, names, checks=None, seed=1):
        self.now = 1_000
        self.checks = checks or invariant.Invariants()
        self.dispatcher = dispatcher.Dispatcher(
            "a", random.Random(seed), self.checks
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
            datacentre_by_name={n: declared.Datacentre(n) for n in PLACES},
        )
        self.starts = {}
        self.refused = {}
        self.count = 0
        self.dispatcher.apply_table(self.table, self.now)

    def state(self, place, service):
        rows = dict(self.table.datacentre_by_name)
        rows[place] = rows[place]._replace(state=service)
        self.table = self.table._replace(datacentre_by_name=rows)
        self.dispatcher.apply_table(self.table, self.now)

    def report(self, name, start_id="1", bears=4, held=0, missing=()):
        self.dispatcher.observe(
            load.LoadReport(
                name, start_id, held, 0, bears, self.now, tuple(missing)
            ),
            self.now,
        )

    def submit(self, repeatable=True, within=5_000, fingerprint="", team="t1"):
        self.count += 1
        item = work.Work(
            f"r{self.count}",
            team,
            "m",
            self.now + within,
            fingerprint=fingerprint,
            repeatable=repeatable,
        )
        verdict = self.dispatcher.submit(item, self.now)
        if isinstance(verdict, decision.Start):
            self.take((verdict,))
        return verdict

    def end(self, ticket, how):
        del self.starts[ticket]
        made = self.dispatcher.finished(ticket, outcome.Outcome(how), self.now)
        self.take(made)

    def tick(self, span=0):
        self.now += span
        self.take(self.dispatcher.tick(self.now))

    def take(self, decisions):
        for made in decisions:
            if isinstance(made, decision.Start):
                assert made.ticket not in self.starts, made
                self.starts[made.ticket] = made
            elif isinstance(made, decision.Refuse):
                assert made.request not in self.refused, made
                self.refused[made.request] = made.refusal
