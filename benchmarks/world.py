"""Callers, daemons and fake upstreams on one list of timed events."""

import collections.abc
import heapq
import itertools
import random
from typing import NamedTuple

from benchmarks import baseline
from benchmarks import fakes
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import invariant
from citronvalve.policy import decision
from citronvalve.policy import dispatcher
from citronvalve.policy import limits
from citronvalve.policy import outcome
from citronvalve.policy import work

_TICK: clock.Ms = 50
_REPORT: clock.Ms = 1_000
_LOAN: clock.Ms = 1_000
#: A lost upstream is urgent news, told at the next tick of the peers.
_GOSSIP: clock.Ms = 250


class Call(NamedTuple):
    """One request of a caller; ``service`` is what it really takes."""

    at: clock.Ms
    item: work.Work
    service: clock.Ms
    kills: bool = False


class Record:
    """What a caller saw of one request."""

    def __init__(self, call: Call, daemon: int) -> None:
        self.call = call
        self.daemon = daemon
        self.first_token: clock.Ms | None = None
        self.done: clock.Ms | None = None
        self.refused: clock.Ms | None = None
        self.kind = ""
        self.accepted = False
        self.upstreams: list[tuple[clock.Ms, str]] = []

    @property
    def on_time(self) -> bool:
        done, deadline = self.done, self.call.item.deadline
        return done is not None and done <= deadline


class World:
    """Runs calls through daemons to fake upstreams.

    :param table: what operators declare.
    :param daemons: how many, dealt out over the data centres.
    :param lag: age in ms of a load report when it arrives.
    :param seed: of every chance.
    :param plain: whether the baseline decides.
    """

    def __init__(
        self,
        table: declared.Declared,
        daemons: int,
        lag: clock.Ms,
        seed: int,
        plain: bool,
    ) -> None:
        self.now: clock.Ms = 1_000_000
        self.start = self.now
        self.table = table
        self.invariants = invariant.Invariants()
        self.upstream_by_name = {
            name: fakes.FakeUpstream(row)
            for name, row in table.upstream_by_name.items()
        }
        self.records: list[Record] = []
        self._lag = lag
        self._events: list[tuple[clock.Ms, int, collections.abc.Callable]]
        self._events = []
        self._order = itertools.count()
        self._record_by_request: dict[str, Record] = {}
        self._live: dict[tuple[int, int], tuple[Record, str]] = {}
        self._keeper = fakes.FakeKeeper(_LOAN)
        self._homes = [
            list(table.datacentre_by_name)[n % len(table.datacentre_by_name)]
            for n in range(daemons)
        ]
        self._daemons = [
            self._daemon(random.Random(seed * 1_000 + n), home, plain)
            for n, home in enumerate(self._homes)
        ]
        for rank, one in enumerate(self._daemons):
            one.apply_table(table, self.now)
            one.set_share(limits.Share(rank, daemons), self.now)
        self._every(_REPORT, self._reports)
        self._every(_TICK, self._ticks)
        self._every(_LOAN // 4, self._loans)
        self._every(_GOSSIP, self._gossip)

    def at(self, moment: clock.Ms, act: collections.abc.Callable) -> None:
        """Do something at a moment, counted from the start."""
        self._push(self.start + moment, act)

    def run(
        self, calls: collections.abc.Iterable[Call], span: clock.Ms
    ) -> None:
        """Let the calls arrive, and run for a span."""
        for call in calls:
            self._push(call.at, lambda call=call: self._arrive(call))
        end = self.start + span
        while self._events and self._events[0][0] <= end:
            self.now, _, act = heapq.heappop(self._events)
            act()

    def declare(self, table: declared.Declared) -> None:
        """Apply an edit; it reaches the daemons within two seconds."""
        self.table = table
        for n, one in enumerate(self._daemons):
            delay = 2_000 * (n + 1) // len(self._daemons)
            self._push(
                self.now + delay,
                lambda one=one: one.apply_table(table, self.now),
            )

    def arrive(self, call: Call) -> None:
        """Let one call arrive now, as from a caller that resends."""
        self._arrive(call)

    def _daemon(self, rng: random.Random, home: str, plain: bool):
        if plain:
            return baseline.Baseline(rng)
        return dispatcher.Dispatcher(home, rng, self.invariants)

    def _push(self, at: clock.Ms, act: collections.abc.Callable) -> None:
        heapq.heappush(self._events, (at, next(self._order), act))

    def _every(self, span: clock.Ms, act: collections.abc.Callable) -> None:
        def again() -> None:
            act()
            self._push(self.now + span, again)

        self._push(self.now, again)

    def _arrive(self, call: Call) -> None:
        # A data centre's balancer goes on sending to its entry VMs when
        # its upstreams are out.
        daemon = len(self.records) % len(self._daemons)
        record = Record(call, daemon)
        self.records.append(record)
        self._record_by_request[call.item.request] = record
        verdict = self._daemons[daemon].submit(call.item, self.now)
        if isinstance(verdict, decision.Start):
            record.accepted = True
            self._carry_out(daemon, (verdict,))
        elif isinstance(verdict, decision.Queued):
            record.accepted = True
        else:
            record.refused, record.kind = self.now, verdict.kind.value

    def _carry_out(
        self, daemon: int, decisions: tuple[decision.Decision, ...]
    ) -> None:
        for made in decisions:
            if isinstance(made, decision.Start):
                self._send(daemon, made)
            elif isinstance(made, decision.Refuse):
                record = self._record_by_request[made.request]
                record.refused = self.now
                record.kind = made.refusal.kind.value

    def _send(self, daemon: int, made: decision.Start) -> None:
        record = self._record_by_request[made.work.request]
        record.upstreams.append((self.now, made.upstream))
        target = self.upstream_by_name[made.upstream]
        # Tickets of different daemons are told apart by the daemon.
        ticket = made.ticket * len(self._daemons) + daemon
        key = (daemon, made.ticket)
        self._live[key] = (record, made.upstream)
        if self.now < target.down_until:
            # The time that it takes to give up on a connection.
            end = outcome.Outcome.NOT_RUN
            self._push(self.now + 50, lambda: self._ended(key, end))
            return
        first = 30 + record.call.item.prompt_tokens // 10
        service = round(record.call.service * target.pace)
        job = fakes.Job(ticket, service, first, record.call.kills)
        begun = target.offer(job, self.now)
        if begun is None:
            self._fell(made.upstream)
        else:
            self._run(target, begun)

    def _run(self, target: fakes.FakeUpstream, begun: list) -> None:
        for job in begun:
            starts, key = target.starts, self._key(job.ticket)
            record = self._live[key][0]
            if record.first_token is None:
                record.first_token = self.now + job.first_token
            self._push(
                self.now + job.service,
                lambda job=job, starts=starts: self._served(
                    target, job, starts
                ),
            )

    def _served(
        self, target: fakes.FakeUpstream, job: fakes.Job, starts: int
    ) -> None:
        if starts != target.starts:
            return
        target.running.discard(job.ticket)
        target.busy += job.service
        key = self._key(job.ticket)
        record = self._live[key][0]
        if record.done is None:
            record.done = self.now
        self._run(target, target.fill())
        self._ended(key, outcome.Outcome.DONE)

    def _fell(self, name: str) -> None:
        lost = [key for key, (_, at) in self._live.items() if at == name]
        for key in lost:
            self._push(
                self.now + 2,
                lambda key=key: self._ended(key, outcome.Outcome.CRASHED),
            )

    def chill(self, name: str) -> None:
        """Let an upstream fall back into a cold start without warning."""
        self.upstream_by_name[name].chill(self.now)
        self._fell(name)

    def _ended(self, key: tuple[int, int], how: outcome.Outcome) -> None:
        if self._live.pop(key, None) is None:
            return
        daemon, ticket = key
        made = self._daemons[daemon].finished(ticket, how, self.now)
        self._carry_out(daemon, made)

    def _key(self, ticket: int) -> tuple[int, int]:
        ticket, daemon = divmod(ticket, len(self._daemons))
        return daemon, ticket

    def _ticks(self) -> None:
        for n, one in enumerate(self._daemons):
            self._carry_out(n, one.tick(self.now))

    def _reports(self) -> None:
        for target in self.upstream_by_name.values():
            report = target.report(self.now)
            if report is None:
                continue
            self._push(
                self.now + self._lag,
                lambda report=report: self._tell(report),
            )

    def _tell(self, report) -> None:
        for one in self._daemons:
            one.observe(report, self.now)

    def _loans(self) -> None:
        wants: dict[str, dict[int, int]] = {}
        for n, one in enumerate(self._daemons):
            for want in one.needed_loans(self.now):
                wants.setdefault(want.upstream, {})[n] = want.bound
        for name, bound_by_daemon in wants.items():
            bound = min(bound_by_daemon.values())
            daemons = list(bound_by_daemon)
            lent = self._keeper.lend(name, bound, daemons, self.now)
            for n, slots in lent.items():
                until = self.now + _LOAN
                self._daemons[n].accept_loan(name, slots, until, self.now)

    def _gossip(self) -> None:
        for one in self._daemons:
            for loss in one.recent_losses(self.now):
                for other in self._daemons:
                    other.record_remote_loss(loss, self.now)
