"""Runners that must not join another group since their head may serve."""

from collections.abc import Iterable
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.replicas import liveness as liveness_
from citronvalve.replicas import membership
from citronvalve.replicas import order as orders
from citronvalve.replicas import outbox as outboxes
from citronvalve.replicas import pending as pendings
from citronvalve.replicas import phase
from citronvalve.replicas import replica as replicas
from citronvalve.replicas import runner as runners

#: Added to the time after which a stalled head breaks.
_BREAK_MARGIN: clock.Ms = 500

#: Entries that lapsed during an outage of the list are back within this time.
_RELIST_TIME: clock.Ms = 2_500

#: An order that had no answer may be carried out up to this much later.
MAX_ORDER_DELAY: clock.Ms = 12_500

#: Heads kept before those of groups without a reported member are dropped.
_MAX_HEADS = 1_000

_Kind = orders.OrderKind


class _Reservation(NamedTuple):
    """Members that are reserved for the group of a head.

    ``expires_at`` is monotonic ms; for a group whose head is to stop it is
    when that was decided.
    """

    head: str
    expires_at: clock.Ms
    members: set[str]


class _OutstandingJoin(NamedTuple):
    """An order to join that may still be carried out.

    ``until`` is monotonic ms.
    """

    epoch: int
    until: clock.Ms


class Reservations:
    """Tracks which runners may still belong to a group that serves.

    A head accepts requests whatever its members do.  A lost head may be
    serving behind a network partition, and a head that was ordered to open
    may do so late.  If a member joined another group meanwhile, it would
    belong to two groups that serve.

    :param liveness: which runners are alive.
    :param outbox: takes the orders.
    :param stall_timeout: ms after which a stalled head breaks.
    :param open_time: ms that a head takes to open.
    """

    def __init__(
        self,
        liveness: liveness_.Liveness,
        outbox: outboxes.Outbox,
        stall_timeout: clock.Ms,
        open_time: clock.Ms,
    ) -> None:
        self._liveness = liveness
        self._open_time = open_time
        self._outbox = outbox
        self._stall_timeout = stall_timeout
        self._head_by_key: dict[membership.GroupKey, str] = {}
        self._headless_since: dict[membership.GroupKey, clock.Ms] = {}
        self._lost_by_key: dict[membership.GroupKey, _Reservation] = {}
        self._left_until_by_id: dict[str, clock.Ms] = {}
        self._abandoned_by_key: dict[membership.GroupKey, _Reservation] = {}
        self._open_answered_at_by_key: dict[membership.GroupKey, clock.Ms] = {}
        self._opening_by_key: dict[membership.GroupKey, _Reservation] = {}
        self._cut_answered: set[membership.GroupKey] = set()
        self._join_by_id: dict[str, _OutstandingJoin] = {}
        self._released: set[membership.GroupKey] = set()

    def update(self, alive: list[runners.Runner]) -> None:
        """Update the heads of all groups.

        :param alive: all runners that are not lost, as they report themselves.
        """
        live_keys = set()
        for runner in alive:
            held = runner.membership
            if held is None:
                continue
            live_keys.add(held.key)
            if held.key in self._opening_by_key:
                self._opening_by_key[held.key].members.add(runner.id)
            if not held.rank:
                self._head_by_key[held.key] = runner.id
        if len(self._head_by_key) > _MAX_HEADS:
            live_keys |= (
                self._lost_by_key.keys() | self._abandoned_by_key.keys()
            )
            self._head_by_key = {
                k: head
                for k, head in self._head_by_key.items()
                if k in live_keys
            }
            self._open_answered_at_by_key = {
                k: at
                for k, at in self._open_answered_at_by_key.items()
                if k in live_keys
            }
            self._cut_answered &= live_keys
            self._released &= live_keys

    def record_head_alive(
        self, replica: replicas.Replica, now: clock.Ms
    ) -> None:
        """Record that the head of a group is alive.

        If it counted as lost and members have left meanwhile, it may serve
        without them.  They stay reserved until it has stopped.

        :param replica: the group.
        :param now: monotonic ms.
        """
        key, head = replica.key, replica.head
        self._headless_since.pop(key, None)
        lost = self._lost_by_key.get(key)
        if lost is None or head is None or replica.is_complete():
            return
        if replica.phase not in phase.SERVING:
            del self._lost_by_key[key]
        elif key not in self._abandoned_by_key:
            self._cut_answered.discard(key)
            self._abandoned_by_key[key] = _Reservation(
                head.id, now, lost.members
            )

    def dissolve_headless(
        self, replica: replicas.Replica, now: clock.Ms
    ) -> bool:
        """Dissolve a group without a head; return whether it stays reserved.

        Once all other members have left, a lost head stalls and breaks.

        :param replica: the group.
        :param now: monotonic ms.
        """
        key = replica.key
        members = list(replica.member_by_rank.values())
        head = self._head_by_key.get(key)
        if head is not None and self._has_left(head, key):
            if key in self._released:
                # The next leader could not tell a group without a head from
                # one whose head is lost.
                self._order_to_leave(members, key, now)
            return False
        if not self._is_head_lost(key, head, now):
            return True
        # Counts from when the last member has left, since an order to leave
        # may be lost.  Members that have left report no group, so they are
        # kept from the previous reservation.
        previous = self._lost_by_key.get(key)
        self._lost_by_key[key] = _Reservation(
            head or "",
            now + self._stall_timeout + _BREAK_MARGIN,
            {runner.id for runner in members}
            | (previous.members if previous else set()),
        )
        why = orders.Reason.HEAD_LOST
        for runner in members:
            leave = orders.Order(_Kind.LEAVE, runner.id, key, why=why)
            self._outbox.add(leave, now)
        return True

    def release(self, replica: replicas.Replica, now: clock.Ms) -> None:
        """Order the members of a group that is not open to leave it.

        The head leaves first: without a member, an order to open that is
        carried out late would open an incomplete group.

        :param replica: the group.
        :param now: monotonic ms.
        """
        head = replica.head
        if head is not None:
            self._released.add(replica.key)
            self._order_to_leave([head], replica.key, now)

    def is_released(self, key: membership.GroupKey) -> bool:
        """Return whether members of a group may still be leaving it.

        An order to leave may be carried out late.

        :param key: the group.
        """
        return key in self._released

    def _order_to_leave(
        self,
        members: Iterable[runners.Runner],
        key: membership.GroupKey,
        now: clock.Ms,
    ) -> None:
        why = orders.Reason.RELEASED
        for runner in members:
            leave = orders.Order(_Kind.LEAVE, runner.id, key, why=why)
            self._outbox.add(leave, now)

    def left_runners(self) -> frozenset[str]:
        """Return the runners reserved since their head is lost."""
        reservations = self._lost_by_key.values()
        return frozenset(self._left_until_by_id).union(
            *(each.members for each in reservations)
        )

    def inherit_left(self, left_at_by_id: dict[str, clock.Ms]) -> None:
        """Reserve runners that an earlier leader ordered to leave.

        :param left_at_by_id: monotonic ms at which each was first seen
            without a group.
        """
        span = self._stall_timeout + _BREAK_MARGIN
        self._left_until_by_id = {
            runner: at + span for runner, at in left_at_by_id.items()
        }

    def record_abandoned(
        self, pending: pendings.PendingReplica, now: clock.Ms
    ) -> None:
        """Record an abandoned group whose head was ordered to open.

        :param pending: the group.
        :param now: monotonic ms.
        """
        self._cut_answered.discard(pending.key)
        self._abandoned_by_key[pending.key] = _Reservation(
            pending.members[0], now, set(pending.members)
        )

    def has_opened(self, key: membership.GroupKey) -> bool:
        """Return whether the head of a group has answered the order to open.

        :param key: the group.
        """
        return key in self._open_answered_at_by_key

    def record_join(
        self, runner: str, key: membership.GroupKey, now: clock.Ms
    ) -> None:
        """Record that a runner is ordered to join a group.

        The order may be carried out late, whatever it is answered.

        :param runner: its id.
        :param key: the group.
        :param now: monotonic ms.
        """
        until = now + MAX_ORDER_DELAY
        previous = self._join_by_id.get(runner)
        epoch = max(key.epoch, previous.epoch if previous else 0)
        self._join_by_id[runner] = _OutstandingJoin(epoch, until)

    def may_lose_member(
        self, replica: replicas.Replica, now: clock.Ms
    ) -> bool:
        """Return whether an order may take a member into another group.

        A runner rejects an order to join with a lower epoch than one that it
        has seen, so that only orders for later groups count.

        :param replica: the group.
        :param now: monotonic ms.
        """
        outstanding = (
            self._join_by_id.get(runner.id)
            for runner in replica.member_by_rank.values()
        )
        return any(
            join is not None
            and join.epoch > replica.key.epoch
            and now < join.until
            for join in outstanding
        )

    def record_result(
        self, order: orders.Order, result: orders.OrderResult, now: clock.Ms
    ) -> None:
        """Record the result of an order.

        :param order: the order.
        :param result: the runner's response.
        :param now: monotonic ms.
        """
        if order.key is None:
            return
        unanswered = result is orders.OrderResult.SILENT
        if order.kind is _Kind.JOIN and unanswered:
            self.record_join(order.runner, order.key, now)
        if order.kind is _Kind.OPEN and unanswered:
            # The order may be carried out after another order has opened the
            # group and it has been closed again.
            previous = self._opening_by_key.get(order.key)
            members = previous.members if previous else {order.runner}
            self._opening_by_key[order.key] = _Reservation(
                order.runner, now + MAX_ORDER_DELAY, members
            )
        if order.kind is _Kind.OPEN and not unanswered:
            self._open_answered_at_by_key[order.key] = now
        if order.kind is _Kind.CUT and not unanswered:
            if self._is_after_opening(order, order.key):
                self._cut_answered.add(order.key)

    def _is_after_opening(
        self, cut: orders.Order, key: membership.GroupKey
    ) -> bool:
        """Return whether an order to cut found no head that was opening.

        A head that is opening accepts the order, and opens all the same.

        :param cut: an order that was answered.
        :param key: its group.
        """
        opened_at = self._open_answered_at_by_key.get(key)
        sent_at = self._outbox.sent_at(cut)
        if opened_at is None or sent_at is None:
            return True
        return sent_at >= opened_at + self._open_time

    def reserved_runners(self, now: clock.Ms) -> set[str]:
        """Drop expired reservations; return the runners still reserved.

        Orders the heads of abandoned groups to cut until they have stopped.

        :param now: monotonic ms.
        """
        self._left_until_by_id = {
            runner: until
            for runner, until in self._left_until_by_id.items()
            if now < until
        }
        self._join_by_id = {
            runner: join
            for runner, join in self._join_by_id.items()
            if now < join.until
        }
        reserved = set(self._left_until_by_id)
        for reservation_by_key in (
            self._lost_by_key,
            self._opening_by_key,
        ):
            for key, reservation in list(reservation_by_key.items()):
                has_left = reservation.head and self._has_left(
                    reservation.head, key
                )
                if now >= reservation.expires_at or has_left:
                    del reservation_by_key[key]
                else:
                    reserved |= reservation.members
        for key, reservation in list(self._abandoned_by_key.items()):
            if self._has_stopped(key, reservation, now):
                del self._abandoned_by_key[key]
                self._lost_by_key.pop(key, None)
            else:
                reserved |= reservation.members
                why = orders.Reason.ABANDONED
                cut = orders.Order(_Kind.CUT, reservation.head, key, why=why)
                self._outbox.add(cut, now)
        return reserved

    def _has_stopped(
        self,
        key: membership.GroupKey,
        reservation: _Reservation,
        now: clock.Ms,
    ) -> bool:
        """Return whether the head of an abandoned group no longer serves.

        The list may be old, and an order without an answer may be carried
        out once a partition has healed, so only the head's response counts.
        """
        if key in self._cut_answered:
            return True
        # A head that is lost for this long broke when its members left.
        lost = self._liveness.is_lost(reservation.head)
        if (
            lost
            and now
            >= reservation.expires_at + self._stall_timeout + MAX_ORDER_DELAY
        ):
            return True
        return self._has_left(reservation.head, key)

    def _is_head_lost(
        self, key: membership.GroupKey, head: str | None, now: clock.Ms
    ) -> bool:
        """Return whether a head is lost, not only missing from the list."""
        if head is not None and self._liveness.find(head) is not None:
            return self._liveness.is_lost(head)
        # Entries come back one by one after an outage of the list.
        since = self._headless_since.setdefault(key, now)
        return now - since >= _RELIST_TIME

    def _has_left(self, head: str, key: membership.GroupKey) -> bool:
        runner = self._liveness.find(head)
        if runner is None or self._liveness.is_lost(head):
            return False
        held = runner.membership
        return held is None or held.key != key
