"""Limits on requests in progress by team, model and data centre."""

import collections.abc
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import declared


class Key(NamedTuple):
    """What a limit applies to; equal to the key of its row."""

    team: str
    model: str
    datacentre: str


class Share(NamedTuple):
    """This daemon's rank among those that share every limit."""

    rank: int
    members: int

    def of(self, slots: int) -> int:
        """Return its fixed part; the parts of all members add up.

        :param slots: the number of slots to divide.
        """
        whole, rest = divmod(slots, self.members)
        return whole + (self.rank < rest)


class _Loan(NamedTuple):
    slots: int
    expires_at: clock.Ms


class Limits:
    """Counts requests in progress against this daemon's part of the limits.

    The limits keep a team's burst from taking slots that are reserved for
    others.  A limit applies to all daemons together: without a loan from
    its coordinator each uses a fixed part, so that the limit is kept without
    messages.
    """

    def __init__(self) -> None:
        self._limit_by_key: dict[tuple[str, str, str], declared.Limit] = {}
        self._running_by_key: dict[Key, int] = {}
        self._loan_by_key: dict[Key, _Loan] = {}
        self._share = Share(0, 1)

    def set_limits(
        self, limit_by_key: dict[tuple[str, str, str], declared.Limit]
    ) -> None:
        """Apply the rows of the table.

        :param limit_by_key: the rows.
        """
        self._limit_by_key = limit_by_key

    def set_share(self, share: Share) -> None:
        """Set this daemon's rank among the members.

        :param share: its rank and their number.
        """
        self._share = share

    def accept_loan(self, key: Key, slots: int, expires_at: clock.Ms) -> None:
        """Use a loan instead of the fixed part.

        :param key: which limit.
        :param slots: requests in progress that it allows here.
        :param expires_at: when it expires, in monotonic ms.
        """
        self._loan_by_key[key] = _Loan(slots, expires_at)

    def allowed(self, key: Key, now: clock.Ms) -> float:
        """Return how many requests may be in progress here.

        :param key: which limit; infinite where there is none.
        :param now: monotonic ms.
        """
        limit = self._limit_by_key.get(key)
        if limit is None:
            return float("inf")
        loan = self._loan_by_key.get(key)
        if loan is not None and now < loan.expires_at:
            return min(loan.slots, limit.slots)
        return self._share.of(limit.slots)

    def has_free_slot(self, key: Key, now: clock.Ms) -> bool:
        """Return whether one more request may start.

        :param key: which limit.
        :param now: monotonic ms.
        """
        if key not in self._limit_by_key:
            return True
        return self._running_by_key.get(key, 0) < self.allowed(key, now)

    def total_allowed(
        self,
        team: str,
        model: str,
        datacentres: collections.abc.Iterable[str],
        now: clock.Ms,
    ) -> float:
        """Return how many requests of a team all limits together allow.

        :param team: the team.
        :param model: the model.
        :param datacentres: names of all data centres.
        :param now: monotonic ms.
        """
        return sum(
            self.allowed(Key(team, model, name), now) for name in datacentres
        )

    def acquire(self, key: Key) -> None:
        """Count a request that starts.

        :param key: which limit.
        """
        self._running_by_key[key] = self._running_by_key.get(key, 0) + 1

    def release(self, key: Key) -> None:
        """Count a request that ended.

        :param key: which limit.
        """
        left = self._running_by_key[key] - 1
        if left:
            self._running_by_key[key] = left
        else:
            del self._running_by_key[key]
