"""A runner's place in groups, as the users' platform describes it."""

from collections.abc import Callable
import time
from typing import Any

import eventlet
import msgspec

from standins.soak import ledger as ledgers

#: Seconds of a join, of the opening, and until a head that lost a member
#: breaks; short, so that many happen in a soak of a minute.
_JOIN = 0.2
_FORM = 0.3
_STALL = 4.0

#: Seconds between two looks of something that waits for another's change.
_LOOK = 0.02

_SERVING = ("open", "closing")


class Group(msgspec.Struct):
    """One formation of a group, and how far this member has got in it."""

    name: str
    epoch: int
    members: tuple[str, ...]
    rank: int
    state: str = "joining"
    is_preempted: bool = False


class Place:
    """Joins, opens, closes and leaves groups as it is ordered.

    :param name: the runner's id.
    :param fleet: the places of all runners by id; this one adds itself.
    :param book: the accounts.
    :param on_change: called after each change.
    :ivar group: the one that it belongs to, or None.
    :ivar alive: whether its runner works.
    :ivar deaf: whether its runner listens no more and stays for its head's
        work only.
    :ivar running: streams that its runner writes.
    :ivar silent: whether its runner does nothing for now, and goes on later.
    """

    def __init__(
        self,
        name: str,
        fleet: dict[str, "Place"],
        book: ledgers.Ledger,
        on_change: Callable[[], None],
    ) -> None:
        self._name, self._fleet, self._book = name, fleet, book
        self._on_change = on_change
        self.group: Group | None = None
        self.alive = True
        self.deaf = False
        self.silent = False
        self.running = 0
        self._seen_epoch = 0
        self._still_since: float | None = None
        fleet[name] = self

    def crash(self) -> None:
        """Die; nothing of before is known at the next start."""
        self.alive, self.group = False, None

    def start(self) -> None:
        """Begin anew."""
        self.alive, self.deaf = True, False
        self.running = self._seen_epoch = 0
        self._still_since = None

    def wait_awake(self) -> None:
        """Return when its runner is not silent."""
        while self.silent:
            eventlet.sleep(_LOOK)

    def said(self) -> dict[str, Any] | None:
        """Return what the runner tells of its group."""
        held = self.group
        if held is None:
            return None
        return {
            "Name": held.name,
            "epoch": held.epoch,
            "rank": held.rank,
            "State": "broken" if self.is_broken() else held.state,
        }

    def is_with(self, group: Group) -> bool:
        """Tell whether it is still a member of a group.

        :param group: as its head knows it.
        """
        own = self.group
        here = own is not None and own.name == group.name
        return self.alive and here and own.epoch == group.epoch

    def is_member(self, size: int) -> bool:
        """Tell whether it belongs to a group of a size, not as its head.

        :param size: the group's.
        """
        held = self.group
        return held is not None and held.rank and len(held.members) == size

    def serves(self, group: Group) -> bool:
        """Tell whether it is a head that may run requests.

        :param group: as the request met it.
        """
        return self.is_with(group) and group.state in _SERVING

    def listens(self) -> bool:
        """Tell whether no member has stopped listening."""
        return not any(self._fleet[m].deaf for m in self.group.members)

    def all_were_ready(self) -> bool:
        """Tell whether no member of its group is still joining."""
        members = [self._fleet[m] for m in self.group.members]
        return all(each.group.state != "joining" for each in members)

    def head_works(self) -> bool:
        """Tell whether the head of its group has streams that it writes."""
        held = self.group
        head = self._fleet.get(held.members[0]) if held else None
        return head is not None and head.is_with(held) and head.running > 0

    def stands_still(self) -> bool:
        """Tell whether a member of its group is gone."""
        held = self.group
        others = [self._fleet[m] for m in held.members if m in self._fleet]
        whole = len(others) == len(held.members)
        whole = whole and all(other.is_with(held) for other in others)
        if whole:
            self._still_since = None
        elif self._still_since is None:
            self._still_since = time.monotonic()
        return not whole

    def is_broken(self) -> bool:
        """Tell whether it is a head that stood still for too long."""
        held = self.group
        if held is None or held.rank:
            return False
        if held.state not in (*_SERVING, "broken"):
            return False
        if not self.stands_still():
            return False
        return time.monotonic() - self._still_since >= _STALL

    def wait_whole(self, group: Group) -> bool:
        """Wait until no member is missing; False when the head gives up.

        :param group: as the request met it.
        """
        until = time.monotonic() + _STALL
        while self.stands_still() or not self.serves(group):
            if time.monotonic() >= until or not self.serves(group):
                return False
            eventlet.sleep(_LOOK)
        return True

    def carry_out(self, order: dict[str, Any]) -> int:
        """Do as ordered; return the status.

        :param order: its fields on the wire.
        """
        kind = order["Operation"]
        if kind == "join":
            return self._join(order)
        if kind == "Stage":
            return 200
        held = self.group
        place = order.get("group"), order.get("epoch")
        if held is None or (held.name, held.epoch) != place:
            return 409
        if kind == "leave":
            if self._old_head_serves():
                self._book.torn.append(f"{self._name} of {held.name}")
            self.group = None
            self._on_change()
            return 202
        if kind == "open":
            return self._open(held)
        if held.state in _SERVING:
            self._close(held, order.get("CloseMode") == "preempt")
        return 202

    def _close(self, held: Group, at_once: bool) -> None:
        held.state = "ready" if at_once else "closing"
        held.is_preempted = at_once
        self._on_change()
        if not at_once:
            eventlet.spawn(self._closed, held)

    def _closed(self, held: Group) -> None:
        while self.running:
            eventlet.sleep(_LOOK)
        self.wait_awake()
        if self.group is held and held.state == "closing" and self.alive:
            held.state = "ready"
            self._on_change()

    def _open(self, held: Group) -> int:
        if held.state == "open":
            return 200
        if held.rank or held.state != "ready":
            return 409
        eventlet.spawn_after(_FORM, self._opened, held)
        return 202

    def _opened(self, held: Group) -> None:
        self.wait_awake()
        if self.group is held and held.state == "ready" and self.alive:
            held.state = "open"
            held.is_preempted = False
            self._on_change()

    def _join(self, order: dict[str, Any]) -> int:
        epoch, members = order["epoch"], tuple(order["Members"])
        held = self.group
        if epoch < self._seen_epoch:
            return 412
        if held is not None and (held.name, held.epoch) == (
            order["group"],
            epoch,
        ):
            return 200 if held.members == members else 412
        self._look_at_old_head()
        self._seen_epoch = epoch
        rank = members.index(self._name)
        self.group = Group(order["group"], epoch, members, rank)
        eventlet.spawn_after(_JOIN, self._joined, self.group)
        self._on_change()
        return 202

    def _joined(self, held: Group) -> None:
        self.wait_awake()
        if self.group is held and self.alive:
            held.state = "ready"
            self._on_change()

    def _look_at_old_head(self) -> None:
        held = self.group
        if held is None:
            return
        is_head = held.rank == 0 and held.state in _SERVING
        serves = self._old_head_serves() or (is_head and not self.is_broken())
        detail = f"{self._name} leaves {held.name} that its head serves"
        self._book.look("no runner is in two groups", not serves, detail)

    def _old_head_serves(self) -> bool:
        held = self.group
        head = self._fleet.get(held.members[0])
        return (
            head is not None
            and head is not self
            and head.is_with(held)
            and head.group.state in _SERVING
            and not head.is_broken()
        )
