"""A queue of one model's work, fair between teams, urgent first in one."""

import bisect
import collections.abc
from typing import NamedTuple

from citronvalve.model import clock


class QueuedRequest(NamedTuple):
    """One request in the queue; sorts by deadline, then by arrival.

    ``cost`` is its expected and ``bound`` its cautious service time in ms.
    """

    deadline: clock.Ms
    order: int
    request: str
    team: str
    cost: clock.Ms
    bound: clock.Ms


class _TeamQueue:
    """One team's work, and how much service it has had."""

    __slots__ = ("by_deadline", "cost", "running", "virtual", "weight")

    def __init__(self) -> None:
        self.by_deadline: list[QueuedRequest] = []
        self.cost = 0
        self.virtual = 0.0
        self.running = 0
        self.weight = 1.0


class FairQueue:
    """Weighted fair shares across teams, earliest deadline first in one.

    Made for one team that sends several times its share: its own line
    grows, and the others' work still finds the next free slot.  The next
    slot goes to the team with the fewest in use for its weight, and among
    equals to the one least served: equal slots at all times are equal
    service.  Charging the whole cost at the start, as weighted fair
    queueing does, would make a team's short work wait for seconds after
    each of its long ones.
    """

    def __init__(self) -> None:
        self._line_by_team: dict[str, _TeamQueue] = {}
        self._virtual = 0.0
        self._size = 0
        self._cost = 0

    def __len__(self) -> int:
        return self._size

    @property
    def cost(self) -> clock.Ms:
        """Return the service time in ms of all that waits."""
        return self._cost

    def items_of(self, team: str) -> collections.abc.Sequence[QueuedRequest]:
        """Return a team's work, the most urgent first.

        :param team: its name.
        """
        line = self._line_by_team.get(team)
        return line.by_deadline if line else ()

    def push(self, item: QueuedRequest) -> None:
        """Add work.

        :param item: the work.
        """
        line = self._line_by_team.setdefault(item.team, _TeamQueue())
        if not line.by_deadline:
            # A team that was idle has no claim to the service it left to
            # others; with one it could take every slot for a while.
            line.virtual = max(line.virtual, self._virtual)
        bisect.insort(line.by_deadline, item)
        line.cost += item.cost
        self._size += 1
        self._cost += item.cost

    def remove(self, item: QueuedRequest) -> None:
        """Take work out, wherever it stands.

        :param item: the work as it was pushed.
        """
        line = self._line_by_team[item.team]
        at = bisect.bisect_left(line.by_deadline, item)
        del line.by_deadline[at]
        line.cost -= item.cost
        self._size -= 1
        self._cost -= item.cost

    def teams_by_turn(self) -> list[str]:
        """Return the teams that wait, whose turn it is first."""
        line_by_team = self._line_by_team
        waiting = [t for t, n in line_by_team.items() if n.by_deadline]
        return sorted(waiting, key=lambda t: _turn(line_by_team[t]))

    def record_start(self, team: str, cost: clock.Ms, weight: float) -> None:
        """Count an attempt that starts.

        :param team: whose it is.
        :param cost: its expected service time in ms.
        :param weight: the team's weight, above 0.
        """
        line = self._line_by_team.setdefault(team, _TeamQueue())
        begin = max(line.virtual, self._virtual if not line.cost else 0.0)
        line.virtual = begin + cost / weight
        line.weight = weight
        line.running += 1
        self._virtual = max(self._virtual, begin)

    def record_end(self, team: str) -> None:
        """Count an attempt that ended.

        :param team: whose it was.
        """
        self._line_by_team[team].running -= 1

    def items(self) -> collections.abc.Iterator[QueuedRequest]:
        """Yield all that waits, in no order that means anything."""
        for line in self._line_by_team.values():
            yield from line.by_deadline


def _turn(line: _TeamQueue) -> tuple[float, float]:
    return (line.running + 1) / line.weight, line.virtual
