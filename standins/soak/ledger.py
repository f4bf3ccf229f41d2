"""What callers asked for and upstreams ran, and the promises about it."""

import collections
from collections.abc import Callable
import time
from typing import NamedTuple

from standins.soak import needs

#: Seconds after a fault until the promises with a bound in time hold again.
CALM = 3.0

#: Callers of daemons without links to any runner are served at least this
#: part as often as others; fewer tries on either side tell nothing.
_CUT_PART, _CUT_TRIES = 2 / 3, 10


SERVED_ALIKE = "callers of daemons without links are served as others are"


class Asked(NamedTuple):
    """One attempt of a caller, and whether it may run more than once.

    ``parts`` are those of its prompt, as ID:TOKENS with commas between.
    """

    id: str
    may_repeat: bool
    path: str
    body: bytes
    team: str
    key: str
    parts: str = ""


class Run(NamedTuple):
    """One request that an upstream began to run, ``at`` in seconds."""

    id: str
    upstream: str
    at: float


class Broken(NamedTuple):
    """A promise that was broken."""

    promise: str
    detail: str
    at: float


class First(NamedTuple):
    """A caller's first try of a request, ``at`` in seconds."""

    daemon: str
    at: float
    served: bool
    detail: str
    asked: Asked | None = None


class PartEvent(NamedTuple):
    """A request with a part that crashes runners arrives, or a crash by it."""

    at: float
    part: str
    upstream: str


class Parts:
    """The contents that crash runners, and what requests with them did.

    :ivar crashing: ids of parts and of whole requests.
    :ivar whole: those of whole requests, which begin their bodies.
    :ivar arrivals: the requests that reached runners.
    :ivar crashes: the runners that crashed.
    """

    def __init__(self) -> None:
        self.crashing: set[str] = set()
        self.whole: set[str] = set()
        self.arrivals: list[PartEvent] = []
        self.crashes: list[PartEvent] = []

    def find(self, parts: str, body: bytes) -> str:
        """Return the crashing content of a request, or nothing.

        :param parts: of its prompt, as in the request.
        :param body: its body.
        """
        begin = body.partition(b" ")[0].decode("latin-1")
        if begin in self.whole:
            return begin
        ids = [entry.partition(":")[0] for entry in parts.split(",")[:-1]]
        return next((one for one in ids if one in self.crashing), "")

    def counted_crash(self, part: str, number: int) -> float | None:
        """Return when a part's crash of some number came, or its last.

        :param part: its id.
        :param number: from 1 on.
        """
        times = [crash.at for crash in self.crashes if crash.part == part]
        return times[:number][-1] if times else None


class Cut(NamedTuple):
    """A request that an upstream ran, and whose answer was cut."""

    id: str
    daemon: str


class Ledger:
    """Keeps both sides' accounts and compares them.

    :ivar looked_by_promise: how often each promise was looked at.
    :ivar broken: the promises that were broken.
    :ivar ends: how requests ended, by status or word.
    :ivar ended: the same with the second of each.
    :ivar torn: members that were told to leave a head that serves.
    :ivar needs: what runners in need asked for, and what reached them.
    :ivar cuts: requests whose connection was closed though they ran.
    """

    def __init__(self) -> None:
        self.began = time.monotonic()
        self._asked_by_id: dict[str, Asked] = {}
        self._runs_by_id: dict[str, list[Run]] = {}
        self._promised: dict[str, int] = {}
        self.looked_by_promise: collections.Counter[str] = (
            collections.Counter()
        )
        self.broken: list[Broken] = []
        self.ends: collections.Counter[str] = collections.Counter()
        self.ended: list[tuple[float, str]] = []
        self.on_broken: Callable[[Broken], None] = lambda _: None
        self._troubles: collections.Counter[str] = collections.Counter()
        self._trouble_ended: float | None = None
        self._stood_still_until: float | None = None
        self.queued = 0.0
        self.firsts: list[First] = []
        self.parts = Parts()
        self.needs = needs.Needs()
        self._sent_by_id: dict[str, tuple[str, float]] = {}
        self.cuts: list[Cut] = []
        self.torn: list[str] = []

    @property
    def now(self) -> float:
        """Return seconds since the soak began."""
        return time.monotonic() - self.began

    def end(self, how: str) -> None:
        """Take in how a request ended for its caller.

        :param how: the status, or a word where there was none.
        """
        self.ends[how] += 1
        self.ended.append((self.now, how))

    def first(
        self,
        daemon: str,
        at: float,
        served: bool,
        detail: str,
        asked: Asked | None = None,
    ) -> None:
        """Take in how a caller's first try ended.

        :param daemon: that took it.
        :param at: when it was sent, in seconds.
        :param served: whether it was answered with success.
        :param detail: shown when it was not.
        :param asked: the request.
        """
        self.firsts.append(First(daemon, at, served, detail, asked))

    def is_calm_but_for(self, name: str) -> bool:
        """Tell whether no other fault is felt.

        :param name: the fault that is left out.
        """
        others = any(n for fault, n in self._troubles.items() if fault != name)
        ended = self._trouble_ended
        return not others and (ended is None or ended < self.now - CALM)

    def look_at_cut(self, cut_off: set[str], since: float) -> None:
        """Look whether callers of daemons without links were served.

        :param cut_off: these daemons' names.
        :param since: seconds at which the promise begins to hold.
        """
        there = [f for f in self.firsts if f.at >= since]
        cut = [f for f in there if f.daemon in cut_off]
        others = [f for f in there if f.daemon not in cut_off]
        failed = [f for f in cut if not f.served]
        if min(len(cut), len(others)) < _CUT_TRIES:
            return
        share = 1 - len(failed) / len(cut)
        usual = sum(f.served for f in others) / len(others)
        self.look(
            SERVED_ALIKE,
            share >= _CUT_PART * usual,
            f"served {len(cut) - len(failed)} of {len(cut)}, others "
            f"{sum(f.served for f in others)} of {len(others)}; "
            f"{[f.detail for f in failed[:3]]}",
        )

    def trouble(self, name: str, begins: bool) -> None:
        """Take in that a fault begins or ends.

        :param name: the fault.
        :param begins: whether it begins.
        """
        if begins:
            self._troubles[name] += 1
            return
        self._troubles[name] -= 1
        self._trouble_ended = self.now

    def stood_still(self, queued: float) -> None:
        """Take in that the soak itself did not run until now.

        :param queued: seconds of it that it waited for a processor.
        """
        self._stood_still_until = self.now
        self.queued += queued

    def stood_still_since(self, at: float) -> bool:
        """Tell whether the soak itself did not run at some time.

        :param at: seconds since the soak began.
        """
        until = self._stood_still_until
        return until is not None and until > at

    def troubled_since(self, at: float) -> bool:
        """Tell whether a fault may be felt at some time since a moment.

        Promises with a bound in time hold for daemons that have been calm
        for a while; whatever holds always is never excused by this.

        :param at: seconds since the soak began.
        """
        if any(self._troubles.values()):
            return True
        ended = self._trouble_ended
        return ended is not None and ended > at - CALM

    def look(self, promise: str, kept: bool, detail: str = "") -> None:
        """Take in that a promise was looked at.

        :param promise: in words.
        :param kept: whether it was kept.
        :param detail: shown when it was not.
        """
        self.looked_by_promise[promise] += 1
        if not kept:
            broken = Broken(promise, detail, self.now)
            self.broken.append(broken)
            self.on_broken(broken)

    def ask(self, asked: Asked, daemon: str = "") -> None:
        """Take in that a caller is about to send a request.

        :param asked: the request.
        :param daemon: name of the daemon that it is sent to.
        """
        self._asked_by_id[asked.id] = asked
        self._sent_by_id[asked.id] = daemon, self.now

    def reached(self, request: str, upstream: str) -> str:
        """Take in that a request has reached an upstream.

        :param request: its id.
        :param upstream: the upstream's id.
        :returns: name of the daemon that took it.
        """
        daemon, asked_at = self._sent_by_id.get(request, ("", 0.0))
        self.needs.arrive(needs.Arrival(self.now, upstream, daemon, asked_at))
        return daemon

    def ran(self, got: Asked, upstream: str) -> None:
        """Take in that an upstream begins to run a request.

        :param got: the request as it arrived; its ``may_repeat`` is not used.
        :param upstream: its id.
        """
        runs = self._runs_by_id.setdefault(got.id, [])
        runs.append(Run(got.id, upstream, self.now))
        asked = self._asked_by_id.get(got.id)
        self.look(
            "what runs was asked for",
            asked is not None,
            f"{got.id or 'no id'}, {got.path}",
        )
        if asked is None:
            return
        same = (got.path, got.body, got.team) == (
            asked.path,
            asked.body,
            asked.team,
        )
        self.look("what runs is what was asked", same, f"{asked} {got}")
        self.look("no key reaches an upstream", not got.key, got.id)
        once = asked.may_repeat or len(runs) == 1
        self.look("what may not repeat runs once", once, str(runs))
        late = got.id not in self._promised or asked.may_repeat
        self.look("what was said not to run does not", late, str(runs))

    def refused(self, request: str, status: int) -> None:
        """Take in an answer that says that a request has not run.

        :param request: its id.
        :param status: the answer's.
        """
        self._promised[request] = status
        runs = self._runs_by_id.get(request, [])
        asked = self._asked_by_id[request]
        kept = asked.may_repeat or not runs
        detail = f"{status} though {runs}"
        self.look("what was said not to run has not", kept, detail)

    def runs(self, request: str) -> list[Run]:
        """Return where a request began to run.

        :param request: its id.
        """
        return self._runs_by_id.get(request, [])
