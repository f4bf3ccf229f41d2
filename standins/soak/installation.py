"""Store, runners and daemons, and what the faults do to them."""

from collections.abc import Callable
import pathlib
import random
import signal

import eventlet

from standins import rowstore
from standins.soak import crashing
from standins.soak import daemon as daemons
from standins.soak import ledger as ledgers
from standins.soak import links
from standins.soak import oddentries
from standins.soak import operator as operators
from standins.soak import place as places
from standins.soak import relay as relays
from standins.soak import runner as runners
from standins.soak import schedule as schedules

ZONES = ("zone-a", "zone-b")

#: Runners of a zone: two groups of three or three of two, and one to spare.
_ENGINES, _DESKS = 7, 2

#: Seconds that a runner goes on serving after it has said that it leaves.
_LEAVES = 4.0

#: Tenths of a second that it then stays at most while its head has work.
_STAYS = 60

#: Seconds that a zone stays out of service.
_OUT_FOR = 7.0

#: Parts of the daemons that lose their links to all runners at once.
_CUT_SHARES = (0.2, 0.5, 0.7, 0.85, 1.0)

_Fault = schedules.Fault
_TROUBLE_BY_FAULT = {
    _Fault.STORE_BUSY: "busy",
    _Fault.STORE_SILENT: "silent",
    _Fault.STORE_LOSES: "lost",
}


class Installation:
    """All that a soak runs.

    :param folder: takes settings and output of the daemons.
    :param count: daemons in all.
    :param seed: of the soak.
    :param book: the accounts.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        count: int,
        seed: int,
        book: ledgers.Ledger,
    ) -> None:
        self._chance = random.Random(seed)
        self._book = book
        self.store = rowstore.RowStore()
        self.operator = operators.Operator(self.store, book, self._chance)
        self._runner_by_name: dict[str, runners.Runner] = {}
        self._place_by_name: dict[str, places.Place] = {}
        for zone in ZONES:
            for number in range(_ENGINES):
                name = f"{zone}-m{number}"
                self._add(name, operators.MODELS, zone)
            for number in range(_DESKS):
                self._add(f"{zone}-d{number}", operators.DESK, zone)
        self.daemons = [
            daemons.Daemon(
                f"front-{n}",
                ZONES[n % len(ZONES)],
                self.store.address,
                folder,
                n,
            )
            for n in range(count)
        ]
        self.links = links.Links(self._runner_by_name.values())
        self._do_by_fault: dict[_Fault, Callable] = {
            _Fault.KILL: self._kill,
            _Fault.PAUSE: self._pause,
            _Fault.STOP: self._stop,
            _Fault.RELOAD: self._reload,
            _Fault.STORE_BUSY: self._store,
            _Fault.STORE_SILENT: self._store,
            _Fault.STORE_LOSES: self._store,
            _Fault.STORE_FORGETS: self._forget,
            _Fault.STORE_LINK: self._store_link,
            _Fault.RUNNER_LINK: self._runner_link,
            _Fault.ZONE_LINK: self._zone_link,
            _Fault.RUNNER_CRASH: self._crash,
            _Fault.RUNNER_UNLISTED: self._unlist,
            _Fault.RUNNER_LEAVES: self._leave,
            _Fault.ORDERS_LATE: self._orders_late,
            _Fault.ANSWERS_LOST: self._answers_lost,
            _Fault.VERSIONS: self._versions,
            _Fault.ZONE_OUT: self._zone_out,
            _Fault.LINKS: self._cut_links,
            _Fault.RUNNERS_SILENT: self._silence,
            _Fault.CRASHING_PART: self._crash_by_part,
            _Fault.RUNNERS_LIMITED: self._limit,
            _Fault.RUNNERS_REST: self._rest,
            _Fault.RUNNER_SAYS_IT_LEAVES: self._say_leaving,
            _Fault.LEADER_LATE: self._kill_leader,
            _Fault.ODD_ENTRY: self._leave_odd_entry,
        }

    @property
    def up(self) -> list[daemons.Daemon]:
        """Return the daemons that should be serving."""
        return [daemon for daemon in self.daemons if daemon.up]

    @property
    def all_runners(self) -> list[runners.Runner]:
        """Return all runners."""
        return list(self._runner_by_name.values())

    def start(self) -> None:
        """Start the daemons."""
        for daemon in self.daemons:
            daemon.start()

    def end(self) -> list[int]:
        """End the daemons in order; return their exit codes."""
        pool = eventlet.GreenPool()
        return list(pool.imap(lambda d: d.stop(), self.daemons))

    def do(self, event: schedules.Event) -> None:
        """Carry out one event, for as long as it lasts.

        :param event: of the schedule.
        """
        is_excuse = event.fault not in schedules.NO_EXCUSE
        if is_excuse:
            self._book.trouble(event.fault, True)
        try:
            self._do_by_fault[event.fault](event)
        finally:
            if is_excuse:
                self._book.trouble(event.fault, False)

    def members(self, zone: str, model: str) -> list[runners.Runner]:
        """Return the members of a model's replicas that are no heads.

        :param zone: where they stand.
        :param model: the model.
        """
        size = operators.SIZE_BY_MODEL[model]
        return [
            runner
            for runner in self._runner_by_name.values()
            if runner.zone == zone and runner.place.is_member(size)
        ]

    def let_leave(self, runner: runners.Runner) -> None:
        """Let a runner leave in order, and return when it is gone.

        :param runner: it is gone when its head has no more work.
        """
        runner.drain()
        eventlet.sleep(_LEAVES)
        runner.stop_listening()
        for _ in range(_STAYS):
            if not runner.place.head_works():
                break
            eventlet.sleep(0.1)
        runner.crash()

    def _add(self, name: str, service: str, zone: str) -> None:
        sizes = operators.SIZE_BY_MODEL
        self._runner_by_name[name] = runners.Runner(
            name,
            service,
            zone,
            self.store,
            self._book,
            random.Random(self._chance.random()),
            self._place_by_name,
            sizes if service == operators.MODELS else None,
            self.operator.look_at,
        )

    def _daemon(self, event: schedules.Event) -> daemons.Daemon | None:
        up = self.up
        return up[event.target % len(up)] if len(up) > 1 else None

    def _runner(self, event: schedules.Event) -> runners.Runner | None:
        sound = [
            runner
            for runner in self._runner_by_name.values()
            if runner.is_sound()
        ]
        return sound[event.target % len(sound)] if sound else None

    def _kill(self, event: schedules.Event) -> None:
        daemon = self._daemon(event)
        if daemon is not None:
            daemon.kill()
            self._book.needs.forget(daemon.name)
            eventlet.sleep(event.span)
            daemon.start()

    def _kill_leader(self, event: schedules.Event) -> None:
        """Let a runner crash, orders be late, and the leader be killed."""
        self._set_all("late", True)
        runner = self._runner(event)
        if runner is not None:
            eventlet.spawn(self._crash, event)
        # The order to repair its group has no answer by then.
        eventlet.sleep(event.span)
        row = self.store.value("citronvalve", "leader") or {}
        leading = [d for d in self.up if d.name == row.get("holder")]
        for daemon in leading if len(self.up) > 1 else []:
            daemon.kill()
            self._book.needs.forget(daemon.name)
            eventlet.sleep(event.span / 3)
            daemon.start()
        self._set_all("late", False)

    def _pause(self, event: schedules.Event) -> None:
        daemon = self._daemon(event)
        if daemon is not None:
            self._book.needs.forget(daemon.name)
            daemon.send(signal.SIGSTOP)
            eventlet.sleep(2 * event.span)
            daemon.send(signal.SIGCONT)
            self._book.needs.forget(daemon.name)

    def _stop(self, event: schedules.Event) -> None:
        daemon = self._daemon(event)
        if daemon is not None:
            code = daemon.stop()
            self._book.needs.forget(daemon.name)
            self._book.look(
                "a daemon ends in order with 0", code == 0, daemon.name
            )
            eventlet.sleep(event.span)
            daemon.start()

    def _reload(self, event: schedules.Event) -> None:
        daemon = self._daemon(event)
        if daemon is not None:
            daemon.slack = 100 + event.target % 60
            daemon.write()
            daemon.send(signal.SIGHUP)

    def _store(self, event: schedules.Event) -> None:
        self.store.trouble = _TROUBLE_BY_FAULT[event.fault]
        eventlet.sleep(event.span)
        self.store.trouble = ""

    def _forget(self, event: schedules.Event) -> None:
        self.store.forget()

    def _store_link(self, event: schedules.Event) -> None:
        daemon = self.daemons[event.target % len(self.daemons)]
        _harm([daemon.link], event)

    def _runner_link(self, event: schedules.Event) -> None:
        runner = self._runner(event)
        if runner is not None:
            _harm([runner.relay], event)
            self._mend(runner)

    def _zone_link(self, event: schedules.Event) -> None:
        zone = ZONES[event.target % len(ZONES)]
        there = [
            runner
            for runner in self._runner_by_name.values()
            if runner.zone == zone and runner.alive
        ]
        _harm([runner.relay for runner in there], event)
        for runner in there:
            self._mend(runner)

    def _mend(self, runner: runners.Runner) -> None:
        # It may have crashed while its link was harmed.
        if not runner.alive:
            runner.relay.do(relays.Harm.REFUSED)

    def _crash(self, event: schedules.Event) -> None:
        runner = self._runner(event)
        if runner is not None:
            runner.crash()
            eventlet.sleep(event.span)
            self.store.drop("servers", runner.name)
            eventlet.sleep(event.span)
            runner.start()

    def _unlist(self, event: schedules.Event) -> None:
        runner = self._runner(event)
        if runner is not None:
            runner.unlist()
            eventlet.sleep(2 * event.span)
            runner.listed = True
            runner.tell()

    def _leave(self, event: schedules.Event) -> None:
        runner = self._runner(event)
        if runner is not None:
            self.let_leave(runner)
            eventlet.sleep(event.span)
            runner.start()

    def _orders_late(self, event: schedules.Event) -> None:
        self._misbehave("late", event)

    def _answers_lost(self, event: schedules.Event) -> None:
        self._misbehave("loses", event)

    def _misbehave(self, what: str, event: schedules.Event) -> None:
        self._set_all(what, True)
        eventlet.sleep(event.span)
        self._set_all(what, False)

    def _set_all(self, what: str, value: bool) -> None:
        for runner in self._runner_by_name.values():
            setattr(runner, what, value)

    def _versions(self, event: schedules.Event) -> None:
        for _ in range(1 + event.target % 6):
            self.operator.write()
            eventlet.sleep(0.15)

    def _cut_links(self, event: schedules.Event) -> None:
        how = list(links.Cut)[event.target % len(links.Cut)]
        share = _CUT_SHARES[event.target % len(_CUT_SHARES)]
        count = max(1, round(share * len(self.daemons)))
        began, calm = self._book.now, self._book.is_calm_but_for(event.fault)
        cut_off = self.daemons[:count]
        self.links.cut_for(cut_off, how, 3 * event.span)
        for daemon in cut_off:
            self._book.needs.forget(daemon.name)
        if calm and self._book.is_calm_but_for(event.fault):
            names = {daemon.name for daemon in cut_off}
            self._book.look_at_cut(names, began + links.SETTLED)

    def _silence(self, event: schedules.Event) -> None:
        """Let some runners of each service be silent for 1.0 to 1.3 s."""
        chance = random.Random(event.target)
        pool = eventlet.GreenPool()
        for service in (operators.MODELS, operators.DESK):
            alike = [r for r in self.all_runners if r.service == service]
            able = [r for r in alike if r.alive and r.draining_at is None]
            count = chance.randrange(len(able)) if able else 0
            for runner in chance.sample(able, count):
                pool.spawn(runner.pause, chance.uniform(1.0, 1.3))
        pool.waitall()

    def _limit(self, event: schedules.Event) -> None:
        """Let some runners of a service name a request rate."""
        rate = random.Random(event.target).choice((0.3, 1.1, 2.0, 5.0))
        limited = self._some_sound(event)
        for runner in limited:
            runner.name_limit(rate)
        eventlet.sleep(event.span)
        for runner in limited:
            runner.end_limit()

    def _rest(self, event: schedules.Event) -> None:
        """Let some runners of a service turn requests away for a while."""
        resting = self._some_sound(event)
        for runner in resting:
            runner.rest = 1.0 + event.target % 25 / 10
        eventlet.sleep(event.span)
        for runner in resting:
            runner.rest = 0.0

    def _say_leaving(self, event: schedules.Event) -> None:
        """Let a runner leave that the list shows as ready until it is gone."""
        runner = self._runner(event)
        if runner is None:
            return
        runner.is_leaving = True
        eventlet.sleep(event.span)
        if runner.is_sound():
            self.let_leave(runner)
            eventlet.sleep(event.span / 4)
            runner.start()

    def _some_sound(self, event: schedules.Event) -> list[runners.Runner]:
        """Return some runners of a service that work and stay."""
        chance = random.Random(event.target)
        service = chance.choice((operators.MODELS, operators.DESK))
        sound = [
            runner
            for runner in self.all_runners
            if runner.service == service and runner.is_sound()
        ]
        return chance.sample(sound, chance.randint(0, len(sound)))

    def _crash_by_part(self, event: schedules.Event) -> None:
        """Send requests with a part that crashes runners."""
        book, chance = self._book, random.Random(event.target)
        teams = chance.choice((list(operators.TEAMS), [operators.TEAM]))
        plan = crashing.Plan(
            f"c{len(book.parts.crashing)}",
            tuple(teams),
            chance.random() < 0.3,
            chance.choice((0.2, 0.5, 1.0)),
            is_whole=chance.random() < 0.5,
        )
        crashing.CrashingCaller(self.daemons, book, chance, plan).run(
            event.span, event.fault
        )

    def _leave_odd_entry(self, event: schedules.Event) -> None:
        """Leave an entry that names no runner, and drop it later."""
        every = list(oddentries.BY_NAME.values())
        every[event.target % len(every)].put(self.store)
        eventlet.sleep(event.span)
        oddentries.drop(self.store)

    def _zone_out(self, event: schedules.Event) -> None:
        zone = ZONES[event.target % len(ZONES)]
        self.operator.set_out(zone, True)
        eventlet.sleep(_OUT_FOR)
        self.operator.set_out(zone, False)


def _harm(links: list[relays.Relay], event: schedules.Event) -> None:
    for link in links:
        link.do(event.harm)
    eventlet.sleep(event.span)
    for link in links:
        link.do(relays.Harm.NONE)
