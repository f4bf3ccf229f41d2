"""Members that no other group may have, since their head may serve."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.replicas import lives as lives_
from citronvalve.replicas import membership
from citronvalve.replicas import order as orders
from citronvalve.replicas import orderbook
from citronvalve.replicas import pending as pendings
from citronvalve.replicas import runner as runners
from citronvalve.replicas import standing as standings

#: Added to the time a head that stands still takes to break.
_BREAK_MARGIN: clock.Ms = 500

#: Entries that lapsed while the list was away are back within so long.
_BACK: clock.Ms = 2_500

#: An order that had no answer is carried out up to so much later.
_LATEST: clock.Ms = 12_500

#: Formations remembered before those that nobody tells of are dropped.
_MOST_KNOWN = 1_000

_Kind = orders.OrderKind


class _Bond(NamedTuple):
    """Members that are bound to a head until a moment."""

    head: str
    until: clock.Ms
    members: set[str]


class Heads:
    """Knows which runners may still belong to a group that serves.

    A head goes on accepting requests whatever its members do.  One that is
    lost may only be out of sight, behind a cut, and serve there; one that
    was told to open may do so late.  A member that joined another group
    meanwhile would belong to two.

    :param lives: who is there.
    :param book: takes orders.
    :param stall: ms until a head that stands still is broken.
    """

    def __init__(
        self,
        lives: lives_.Lives,
        book: orderbook.OrderBook,
        stall: clock.Ms,
    ) -> None:
        self._lives = lives
        self._book = book
        self._stall = stall
        self._head_by_key: dict[membership.GroupKey, str] = {}
        self._unknown_since: dict[membership.GroupKey, clock.Ms] = {}
        self._lost: dict[membership.GroupKey, _Bond] = {}
        self._doubtful: dict[membership.GroupKey, _Bond] = {}
        self._open_answered: set[membership.GroupKey] = set()
        self._open_silent: dict[membership.GroupKey, _Bond] = {}
        self._cut_answered: set[membership.GroupKey] = set()

    def remember(self, known: list[runners.Runner]) -> None:
        """Take in who is the head of what.

        :param known: all runners with their own word.
        """
        told = set()
        for runner in known:
            held = runner.membership
            if held is None:
                continue
            told.add(held.key)
            if held.key in self._open_silent:
                self._open_silent[held.key].members.add(runner.id)
            if not held.rank:
                self._head_by_key[held.key] = runner.id
        if len(self._head_by_key) > _MOST_KNOWN:
            told |= self._lost.keys() | self._doubtful.keys()
            self._head_by_key = {
                k: head for k, head in self._head_by_key.items() if k in told
            }
            self._open_answered &= told
            self._cut_answered &= told

    def seen(self, key: membership.GroupKey) -> None:
        """Note that a head is in sight.

        :param key: its group.
        """
        self._lost.pop(key, None)
        self._unknown_since.pop(key, None)

    def await_break(self, standing: standings.Standing, now: clock.Ms) -> bool:
        """Act on a group without a head; tell whether its members are bound.

        Once all others have left it, a lost head stands still, and breaks.

        :param standing: the group.
        :param now: monotonic ms.
        """
        key = standing.key
        members = list(standing.member_by_rank.values())
        head = self._head_by_key.get(key)
        if head is not None and self._has_moved_on(head, key):
            return False
        if not self._is_missed(key, head, now):
            return True
        # Counted from when the last of them has left: an order to leave may
        # not have arrived.  Those that have left are kept in mind, since
        # they tell of no group any more.
        before = self._lost.get(key)
        self._lost[key] = _Bond(
            head or "",
            now + self._stall + _BREAK_MARGIN,
            {runner.id for runner in members}
            | (before.members if before else set()),
        )
        for runner in members:
            self._book.give(orders.Order(_Kind.LEAVE, runner.id, key), now)
        return True

    def gave_up(self, pending: pendings.Pending, now: clock.Ms) -> None:
        """Note that a group was given up after its head was told to open.

        :param pending: the group.
        :param now: monotonic ms.
        """
        self._cut_answered.discard(pending.key)
        self._doubtful[pending.key] = _Bond(
            pending.members[0], now, set(pending.members)
        )

    def has_opened(self, key: membership.GroupKey) -> bool:
        """Tell whether a head has answered the order to open.

        :param key: its group.
        """
        return key in self._open_answered

    def told(
        self, what: orders.Order, told: orders.Told, now: clock.Ms
    ) -> None:
        """Take in what came back of an order.

        :param what: the order.
        :param told: the runner's answer.
        :param now: monotonic ms.
        """
        silent = told is orders.Told.SILENT
        if what.kind is _Kind.OPEN and silent:
            # It may be carried out after the group was opened by another
            # order and closed again.
            before = self._open_silent.get(what.key)
            members = before.members if before else {what.runner}
            self._open_silent[what.key] = _Bond(
                what.runner, now + _LATEST, members
            )
        if what.kind is _Kind.OPEN and not silent:
            self._open_answered.add(what.key)
        if what.kind is _Kind.CUT and not silent:
            self._cut_answered.add(what.key)

    def bound(self, now: clock.Ms) -> set[str]:
        """Return the runners that no other group may have now.

        :param now: monotonic ms.
        """
        bound: set[str] = set()
        for bonds in (self._lost, self._open_silent):
            for key, bond in list(bonds.items()):
                moved = bond.head and self._has_moved_on(bond.head, key)
                if now >= bond.until or moved:
                    del bonds[key]
                else:
                    bound |= bond.members
        for key, bond in list(self._doubtful.items()):
            if self._is_settled(key, bond, now):
                del self._doubtful[key]
            else:
                bound |= bond.members
                self._book.give(orders.Order(_Kind.CUT, bond.head, key), now)
        return bound

    def _is_settled(
        self, key: membership.GroupKey, bond: _Bond, now: clock.Ms
    ) -> bool:
        """Tell whether a doubtful head has certainly stopped serving.

        The list may be old, and an order that had no answer may be carried
        out once a cut has healed, so only the head's own answer counts.
        """
        if key in self._cut_answered:
            return True
        # One that is lost for so long broke with its members' leaving.
        lost = self._lives.is_lost(bond.head)
        if lost and now >= bond.until + self._stall + _LATEST:
            return True
        return self._has_moved_on(bond.head, key)

    def _is_missed(
        self, key: membership.GroupKey, head: str | None, now: clock.Ms
    ) -> bool:
        """Tell whether a head is lost, and not only told of later."""
        if head is not None and self._lives.find(head) is not None:
            return self._lives.is_lost(head)
        # After an outage of the list its entries come back one by one.
        since = self._unknown_since.setdefault(key, now)
        return now - since >= _BACK

    def _has_moved_on(self, head: str, key: membership.GroupKey) -> bool:
        runner = self._lives.find(head)
        if runner is None or self._lives.is_lost(head):
            return False
        held = runner.membership
        return held is None or held.key != key
