"""Requests in progress by team, model and data centre."""

import collections.abc
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import declared


class Key(NamedTuple):
    """What a limit is set on; equal to the key of its row."""

    team: str
    model: str
    datacentre: str


class Share(NamedTuple):
    """This daemon's place among those that share every limit."""

    rank: int
    members: int

    def of(self, slots: int) -> int:
        """Return its fixed part; the parts of all add up to the whole.

        :param slots: the whole.
        """
        whole, rest = divmod(slots, self.members)
        return whole + (self.rank < rest)


class _Loan(NamedTuple):
    slots: int
    expires_at: clock.Ms


class Limits:
    """Counts what this daemon has in progress against its part of limits.

    Made for a team whose burst must not take what operators set aside for
    others.  The limit holds over all daemons: without a loan from its
    keeper each uses a fixed part, so that no message is needed for safety.
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
        """Set this daemon's place among the members.

        :param share: its rank and their number.
        """
        self._share = share

    def accept_loan(self, key: Key, slots: int, expires_at: clock.Ms) -> None:
        """Take a loan, in place of the fixed part.

        :param key: which limit.
        :param slots: requests in progress that it allows here.
        :param until: monotonic ms at which it ends.
        """
        self._loan_by_key[key] = _Loan(slots, expires_at)

    def allowed(self, key: Key, now: clock.Ms) -> float:
        """Return the requests that may be in progress here.

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
        """Tell whether one more may start.

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
        """Return what all limits together leave to a team.

        :param team: the team.
        :param model: the model.
        :param datacentres: names of all data centres.
        :param now: monotonic ms.
        """
        return sum(
            self.allowed(Key(team, model, name), now) for name in datacentres
        )

    def acquire(self, key: Key) -> None:
        """Count a start.

        :param key: which limit.
        """
        self._running_by_key[key] = self._running_by_key.get(key, 0) + 1

    def release(self, key: Key) -> None:
        """Count an end.

        :param key: which limit.
        """
        left = self._running_by_key[key] - 1
        if left:
            self._running_by_key[key] = left
        else:
            del self._running_by_key[key]
