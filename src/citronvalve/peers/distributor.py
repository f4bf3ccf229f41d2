"""Brings news and loads to every daemon, directly or by the keepers."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import loadsums
from citronvalve.peers import messages
from citronvalve.peers import topology as neighbourhoods
from citronvalve.policy import upstreamchoice
from citronvalve.policy import upstreamload

#: The same word on an upstream is passed on once in this time: all daemons
#: that wait for a replica notice at about the same moment that it stands
#: still.
_ONCE: clock.Ms = 500

#: Whose requests a keeper's sum stands for among those that daemons told.
_OTHERS = "by the keeper"


class Outgoing(NamedTuple):
    """A message and the daemon that it goes to."""

    name: str
    message: messages.Message


class Distributor:
    """Decides who is told what; sends nothing itself.

    With few daemons each tells all others.  With many, each tells one
    keeper of its data centre, which tells the others there and the keepers
    elsewhere: two messages a daemon and period in place of one for each
    other daemon.

    :param name: this daemon.
    :param datacentre: where it stands.
    :param book: takes the requests of the others.
    :ivar neighbourhood: who the keepers are.
    """

    def __init__(
        self, name: str, datacentre: str, book: upstreamchoice.LoadBook
    ) -> None:
        self._name = name
        self._datacentre = datacentre
        self._book = book
        self._sums = loadsums.LoadSums()
        self._daemons_heard = 0
        self._digest_at: clock.Ms | None = None
        self._names: list[str] = []
        self._passed_at: dict[messages.Broadcast, clock.Ms] = {}
        self.neighbourhood = neighbourhoods.Topology(name, datacentre)

    def settle(self, datacentre_by_name: dict[str, str]) -> None:
        """Take in which daemons there are.

        :param datacentre_by_name: all of them, with this one.
        """
        self._names = [n for n in datacentre_by_name if n != self._name]
        self.neighbourhood.settle(datacentre_by_name)

    def others_in_sight(self, now: clock.Ms) -> int:
        """Return how many other daemons were heard of lately.

        :param now: monotonic ms.
        """
        direct = self.neighbourhood.in_sight(now)
        if self._digest_at is None:
            return direct
        lately = now - self._digest_at < neighbourhoods.IN_SIGHT
        return max(direct, self._daemons_heard if lately else 0)

    def tell(self, item: messages.Broadcast, now: clock.Ms) -> list[Outgoing]:
        """Return the messages that bring an item to all daemons.

        :param item: the news.
        :param now: monotonic ms.
        """
        if self.neighbourhood.is_direct:
            return [Outgoing(name, item) for name in self._names]
        return self._pass_on(messages.Stage.UP, item, "", now)

    def tell_near(
        self, item: messages.Broadcast, now: clock.Ms
    ) -> list[Outgoing]:
        """Return the messages that bring an item to the same data centre.

        :param item: the news.
        :param now: monotonic ms.
        """
        near = self.neighbourhood
        if near.is_direct:
            return [Outgoing(name, item) for name in near.fellows]
        return self._to(near.reporters(now), messages.Stage.DOWN, item)

    def passed(
        self, message: messages.Relayed, now: clock.Ms
    ) -> list[Outgoing] | None:
        """Return how news go on, or None for what was passed on just now.

        :param message: as it came.
        :param now: monotonic ms.
        """
        self.neighbourhood.heard(message.sender, now)
        if self._is_repeated(message.payload, now):
            return None
        return self._pass_on(
            message.stage, message.payload, message.sender, now
        )

    def report(
        self, counts: messages.RequestCounts, now: clock.Ms
    ) -> list[Outgoing]:
        """Return the messages that tell this daemon's own requests.

        :param counts: its requests.
        :param now: monotonic ms.
        """
        loads = messages.DaemonLoads(self._name, counts)
        if self.neighbourhood.is_direct:
            return [Outgoing(name, loads) for name in self._names]
        self._sums.put(self._name, counts, now)
        return [
            Outgoing(name, loads) for name in self.neighbourhood.above(now)
        ]

    def digests(self, now: clock.Ms) -> list[Outgoing]:
        """Return the sums that a keeper tells.

        :param now: monotonic ms.
        """
        near = self.neighbourhood
        if near.is_direct:
            return []
        out = [
            Outgoing(
                name,
                messages.OtherLoads(
                    self._name, *self._sums.without(name, now)
                ),
            )
            for name in near.reporters(now)
        ]
        if near.is_keeper(now):
            count, counts = self._sums.here(now)
            totals = messages.DatacentreLoads(
                self._name, self._datacentre, count, counts
            )
            out += [Outgoing(name, totals) for name in near.across(now)]
            self._take_sums(now)
        return out

    def loads(self, message: messages.DaemonLoads, now: clock.Ms) -> None:
        """Take in another daemon's own requests.

        :param message: as it came.
        :param now: monotonic ms.
        """
        near = self.neighbourhood
        near.heard(message.name, now)
        if near.is_direct:
            self._put(message.name, message.by_upstream, now)
            return
        near.reported(message.name, now)
        self._sums.put(message.name, message.by_upstream, now)

    def totals(
        self, message: messages.DatacentreLoads, now: clock.Ms
    ) -> list[Outgoing]:
        """Take in another data centre's requests.

        :param message: as it came; goes on to the keeper if that is another.
        :param now: monotonic ms.
        """
        near = self.neighbourhood
        near.heard(message.name, now)
        self._sums.put_totals(message, now)
        keeper = near.keeper(now)
        return [] if keeper == self._name else [Outgoing(keeper, message)]

    def digest(self, message: messages.OtherLoads, now: clock.Ms) -> None:
        """Take in the sum of the others' requests.

        :param message: as it came.
        :param now: monotonic ms.
        """
        near = self.neighbourhood
        near.heard(message.name, now)
        if near.is_direct or near.keeper(now) != message.name:
            return
        self._daemons_heard = message.daemons
        self._digest_at = now
        self._put(_OTHERS, message.by_upstream, now)

    def _take_sums(self, now: clock.Ms) -> None:
        count, counts = self._sums.without(self._name, now)
        self._daemons_heard = count
        self._digest_at = now
        self._put(_OTHERS, counts, now)

    def _put(
        self, name: str, counts: messages.RequestCounts, now: clock.Ms
    ) -> None:
        known = self._book.load_by_upstream.keys()
        for upstream in known | counts.keys():
            count, late = counts.get(upstream, (0, 0))
            shares = self._book.of(upstream).share_by_daemon
            shares[name] = upstreamload.Share(count, late, now)

    def _pass_on(
        self,
        stage: messages.Stage,
        item: messages.Broadcast,
        sender: str,
        now: clock.Ms,
    ) -> list[Outgoing]:
        near = self.neighbourhood
        keeper = near.keeper(now)
        out = []
        if stage is not messages.Stage.DOWN:
            if keeper != self._name:
                # Who sent it takes this daemon for the keeper.
                out += self._to([keeper], stage, item)
            elif stage is messages.Stage.UP:
                across = near.across(now)
                out += self._to(across, messages.Stage.ACROSS, item)
            below = [n for n in near.reporters(now) if n != sender]
            out += self._to(below, messages.Stage.DOWN, item)
        return out

    def _to(
        self, names: list[str], stage: messages.Stage, item: messages.Broadcast
    ) -> list[Outgoing]:
        passed = messages.Relayed(self._name, stage, item)
        return [Outgoing(name, passed) for name in names]

    def _is_repeated(self, item: messages.Broadcast, now: clock.Ms) -> bool:
        if not isinstance(item, messages.Stall | messages.Crash):
            return False
        for key in [
            k for k, at in self._passed_at.items() if now - at >= _ONCE
        ]:
            del self._passed_at[key]
        if item in self._passed_at:
            return True
        self._passed_at[item] = now
        return False
