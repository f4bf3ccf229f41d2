"""Links between daemons in memory, which drop, delay, repeat and cut."""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import manualclock
from citronvalve.peers import codec
from citronvalve.peers import core
from citronvalve.peers import listener
from citronvalve.peers import peersettings
from citronvalve.peers import timing as timings

#: Messages that wait for a stopped process; its socket buffers no more.
_MOST_WAITING = 64


class ShiftedClock(clock.Clock):
    """A clock with an origin of its own, as each VM has one.

    :param base: the time that all share.
    :param shift: ms by which the monotonic time differs.
    """

    def __init__(self, base: clock.Clock, shift: clock.Ms) -> None:
        self._base = base
        self._shift = shift

    def now(self) -> clock.Ms:
        return self._base.now() + self._shift

    def wall(self) -> clock.Ms:
        return self._base.wall()


class Node(NamedTuple):
    """One daemon on the links."""

    core: core.Core
    listener: listener.Listener
    clock: clock.Clock


class Links:
    """Carries messages with delay, and loses some.

    :param rng: chance.
    :param timing: the fleet's spans.
    :param loss: share of messages that get lost.
    :param repeat: share of messages that arrive twice.
    :param delay: longest delay inside a data centre in ms.
    """

    def __init__(
        self,
        rng: random.Random,
        timing: timings.Timing = timings.Timing(),
        loss: float = 0.0,
        repeat: float = 0.0,
        delay: clock.Ms = 5,
    ) -> None:
        self.rng = rng
        self.timing = timing
        self.loss = loss
        self.repeat = repeat
        self.delay = delay
        self.clock = manualclock.ManualClock(1_000_000)
        self.node_by_name: dict[str, Node] = {}
        self.stopped: set[str] = set()
        self.stopped_at_by_name: dict[str, clock.Ms] = {}
        self.cut: set[frozenset[str]] = set()
        self.messages = 0
        self.after_each: Callable[[], None] = lambda: None
        self._due: list[tuple[clock.Ms, int, str, str, Any]] = []
        self._waiting_by_name: dict[str, list] = {}
        self._timer_by_name: dict[str, str] = {}
        self._order = itertools.count()

    def start(
        self,
        name: str,
        datacentre: str,
        seeds: tuple[str, ...] = (),
        invariants: invariant.Invariants | None = None,
        heard: listener.Listener | None = None,
        expected: int = 0,
    ) -> Node:
        """Start a daemon, or start one again under its old name.

        :param name: its name, which is its address as well.
        :param datacentre: its data centre.
        :param seeds: names of other daemons.
        :param invariants: where promises are asserted.
        :param heard: told of tables and loans.
        :param expected: daemons that its data centre should have.
        """
        settings = peersettings.PeerSettings(
            name, datacentre, name, seeds, self.timing, expected
        )
        heard = heard or listener.Listener()
        shifted = ShiftedClock(self.clock, self.rng.randrange(10**9))
        node = Node(
            core.Core(
                settings,
                shifted,
                random.Random(self.rng.random()),
                invariants or invariant.Invariants(),
                heard,
            ),
            heard,
            shifted,
        )
        self.node_by_name[name] = node
        self.stopped.discard(name)
        self._tick_in(name, self.rng.randrange(self.timing.tick_interval))
        return node

    def kill(self, name: str) -> None:
        """End a daemon without a word.

        :param name: its name.
        """
        del self.node_by_name[name]
        self._waiting_by_name.pop(name, None)

    def stop(self, name: str) -> None:
        """Stop a process; it does not notice.

        :param name: its name.
        """
        self.stopped.add(name)
        self.stopped_at_by_name[name] = self.clock.now()

    def wake(self, name: str) -> None:
        """Let a stopped process run; what waited comes first.

        :param name: its name.
        """
        self.stopped.discard(name)
        for sender, message in self._waiting_by_name.pop(name, ()):
            self._at(0, name, sender, message)
        self._tick_in(name, 1)

    def cut_between(self, these: set[str], those: set[str]) -> None:
        """Let nothing pass between two sets of daemons.

        :param these: names on one side.
        :param those: names on the other side.
        """
        self.cut |= {frozenset((a, b)) for a in these for b in those}

    def heal(self) -> None:
        """Let everything pass again."""
        self.cut.clear()

    def run(self, span: clock.Ms) -> None:
        """Let time pass.

        :param span: ms to run for.
        """
        end = self.clock.now() + span
        while self._due and self._due[0][0] <= end:
            at, _, name, sender, message = heapq.heappop(self._due)
            self.clock.advance(at - self.clock.now())
            self._deliver(name, sender, message)
            self.after_each()
        self.clock.advance(end - self.clock.now())

    def send(self, sender: str, out: list) -> None:
        """Put messages on their way.

        :param sender: name of the daemon that sends.
        :param out: what a core returned.
        """
        node = self.node_by_name[sender]
        speaker = node.core.sender
        for address, message in out:
            self.messages += 1
            if frozenset((sender, address)) in self.cut:
                continue
            times = 1 + (self.rng.random() < self.repeat)
            for _ in range(times):
                if self.rng.random() >= self.loss:
                    delay = self.rng.randrange(self.delay + 1)
                    received = codec.ReceivedMessage(speaker, message)
                    self._at(delay, address, sender, received)

    def _tick_in(self, name: str, delay: clock.Ms) -> None:
        timer = f"timer {next(self._order)}"
        self._timer_by_name[name] = timer
        self._at(delay, name, timer, None)

    def _at(self, delay: clock.Ms, name: str, sender: str, message) -> None:
        at = self.clock.now() + delay
        item = (at, next(self._order), name, sender, message)
        heapq.heappush(self._due, item)

    def _deliver(self, name: str, sender: str, message: Any) -> None:
        node = self.node_by_name.get(name)
        if node is None:
            return
        if name in self.stopped:
            waiting = self._waiting_by_name.setdefault(name, [])
            if message is not None and len(waiting) < _MOST_WAITING:
                waiting.append((sender, message))
            return
        if message is not None:
            self.send(name, node.core.handle(message))
            return
        # The timer of a daemon that was killed or stopped may come round
        # after its successor's began; only the newest counts.
        if sender == self._timer_by_name[name]:
            self.send(name, node.core.tick())
            self._tick_in(name, self.timing.tick_interval)
