"""A fair queue of one model's requests, by deadline within a team."""

import bisect
import collections.abc
from typing import NamedTuple

from citronvalve.model import clock


class QueuedRequest(NamedTuple):
    """One request in the queue; sorts by deadline, then by arrival.

    ``cost`` is the expected service time in ms, and ``bound`` the time that
    nearly all such requests stay under.
    """

    deadline: clock.Ms
    sequence: int
    request: str
    team: str
    cost: clock.Ms
    bound: clock.Ms


class _TeamQueue:
    """One team's queued requests and the service that it has received."""

    __slots__ = ("by_deadline", "cost", "running", "virtual_time", "weight")

    def __init__(self) -> None:
        self.by_deadline: list[QueuedRequest] = []
        self.cost = 0
        self.virtual_time = 0.0
        self.running = 0
        self.weight = 1.0


class FairQueue:
    """Weighted fair shares across teams, earliest deadline first in each.

    When a team sends several times its share, only its own queue grows; the
    requests of others still get the next free slot.  The next slot goes to
    the team with the fewest slots in use relative to its weight, and among
    equals to the one that has received the least service.  Weighted fair
    queueing, which charges the whole cost at the start, would delay a
    team's short requests for seconds after each of its long ones.
    """

    def __init__(self) -> None:
        self._queue_by_team: dict[str, _TeamQueue] = {}
        self._virtual_time = 0.0
        self._size = 0
        self._cost = 0

    def __len__(self) -> int:
        return self._size

    @property
    def cost(self) -> clock.Ms:
        """Return the total cost of the queued requests in ms."""
        return self._cost

    def items_of(self, team: str) -> collections.abc.Sequence[QueuedRequest]:
        """Return a team's queued requests, the earliest deadline first.

        :param team: its name.
        """
        queue = self._queue_by_team.get(team)
        return queue.by_deadline if queue else ()

    def push(self, item: QueuedRequest) -> None:
        """Add a request.

        :param item: the request.
        """
        queue = self._queue_by_team.setdefault(item.team, _TeamQueue())
        if not queue.by_deadline:
            # An idle team saves up no service; otherwise it could take
            # every slot for a while.
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        bisect.insort(queue.by_deadline, item)
        queue.cost += item.cost
        self._size += 1
        self._cost += item.cost

    def remove(self, item: QueuedRequest) -> None:
        """Remove a request from any position.

        :param item: the request as it was pushed.
        """
        queue = self._queue_by_team[item.team]
        position = bisect.bisect_left(queue.by_deadline, item)
        del queue.by_deadline[position]
        queue.cost -= item.cost
        self._size -= 1
        self._cost -= item.cost

    def teams_by_turn(self) -> list[str]:
        """Return the teams with queued requests, the next one first."""
        queue_by_team = self._queue_by_team
        waiting = [t for t, n in queue_by_team.items() if n.by_deadline]
        return sorted(waiting, key=lambda t: _turn_key(queue_by_team[t]))

    def record_start(self, team: str, cost: clock.Ms, weight: float) -> None:
        """Count an attempt that starts.

        :param team: its team.
        :param cost: its expected service time in ms.
        :param weight: the team's weight, above 0.
        """
        queue = self._queue_by_team.setdefault(team, _TeamQueue())
        begin = max(
            queue.virtual_time, self._virtual_time if not queue.cost else 0.0
        )
        queue.virtual_time = begin + cost / weight
        queue.weight = weight
        queue.running += 1
        self._virtual_time = max(self._virtual_time, begin)

    def record_end(self, team: str) -> None:
        """Count an attempt that ended.

        :param team: its team.
        """
        self._queue_by_team[team].running -= 1

    def items(self) -> collections.abc.Iterator[QueuedRequest]:
        """Yield all queued requests, in no particular order."""
        for queue in self._queue_by_team.values():
            yield from queue.by_deadline


def _turn_key(queue: _TeamQueue) -> tuple[float, float]:
    return (queue.running + 1) / queue.weight, queue.virtual_time
