"""The members of a data centre in the view of this daemon."""

from collections.abc import Iterable

import xxhash

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.peers import heartbeat as heartbeats
from citronvalve.peers import member as members
from citronvalve.peers import timing as timings
from citronvalve.peers import updatequeue

_ALIVE = (members.MemberState.ALIVE, members.MemberState.SUSPECT)

#: Transmissions of a join, death or leave: log2 of 52 members and one more, so
#: that the loss of a few messages leaves no member out.  A full roster repairs
#: the rest.
_MEMBER_TRANSMISSIONS = 7

#: Records of dead members are kept for this multiple of ``forget_after``, far
#: longer than any message takes.
_RECORD_RETENTION_FACTOR = 10

#: Transmissions of a heartbeat; the next one follows within a second.
_HEARTBEAT_TRANSMISSIONS = 3


class Membership:
    """Merges records; a higher incarnation wins, then a higher heartbeat.

    :param timing: the fleet's timing.
    :param invariants: checks the invariants.
    :ivar member_by_name: all records, also those of dead members.
    :ivar updates: records to send.
    :ivar heartbeats: names of members whose heartbeats to send.
    """

    def __init__(
        self, timing: timings.Timing, invariants: invariant.Invariants
    ) -> None:
        self._timing = timing
        self._invariants = invariants
        self.member_by_name: dict[str, members.Member] = {}
        self._heard_at_by_name: dict[str, clock.Ms] = {}
        self._died_at_by_name: dict[str, clock.Ms] = {}
        self.updates = updatequeue.UpdateQueue()
        self.heartbeats = updatequeue.UpdateQueue()
        self._alive: frozenset[str] | None = None
        self._digest = 0

    def alive(self) -> frozenset[str]:
        """Return the names of members that are neither dead nor have left."""
        if self._alive is None:
            self._alive = frozenset(
                name
                for name, member in self.member_by_name.items()
                if member.state in _ALIVE
            )
            self._digest = self._compute_digest(self._alive)
        return self._alive

    def known(self) -> frozenset[str]:
        """Return the members that count: alive, or dead and not forgotten."""
        return self.alive() | frozenset(self._died_at_by_name)

    def suspects(self) -> list[str]:
        """Return the names of suspected members, which are probed directly."""
        return [
            name
            for name in self.alive()
            if self.member_by_name[name].state is members.MemberState.SUSPECT
        ]

    def dead(self) -> list[members.Member]:
        """Return the dead members, whose addresses are probed.

        Forgotten ones are included.  Two members that could not reach each
        other for long consider each other dead while all others see both, and
        records from the others can't revive a dead incarnation.
        """
        return [
            member
            for member in self.member_by_name.values()
            if member.state is members.MemberState.DEAD
        ]

    def digest(self) -> int:
        """Return a digest of the alive members and their incarnations."""
        self.alive()
        return self._digest

    def _compute_digest(self, alive: frozenset[str]) -> int:
        incarnations = sorted(
            (name, self.member_by_name[name].incarnation) for name in alive
        )
        return xxhash.xxh32_intdigest(repr(incarnations).encode())

    def is_dead(self, name: str, incarnation: int) -> bool:
        """Return whether an incarnation of a member is dead in this view.

        :param name: the member.
        :param incarnation: the incarnation.
        """
        known = self.member_by_name.get(name)
        if known is None:
            return False
        if incarnation < known.incarnation:
            return True
        return incarnation == known.incarnation and known.state not in _ALIVE

    def merge(self, record: members.Member, now: clock.Ms) -> bool:
        """Merge a record; return whether it changed this view.

        :param record: in the view of its sender.
        :param now: monotonic time in ms.
        """
        known = self.member_by_name.get(record.name)
        if record.state is members.MemberState.SUSPECT:
            record = record._replace(state=members.MemberState.ALIVE)
        if known is None or record.incarnation > known.incarnation:
            self._put(record, now)
            return True
        if record.incarnation < known.incarnation or known.state not in _ALIVE:
            return False
        if record.state in _ALIVE:
            return self._record_heartbeat(
                known, record.heartbeat, record.version, now
            )
        # A peer's report of a death is ignored while heartbeats arrive: one
        # member with a bad connection must not mark a daemon dead that others
        # reach.
        if (
            record.state is members.MemberState.LEFT
            or known.state is members.MemberState.SUSPECT
        ):
            self._put(known._replace(state=record.state), now)
            return True
        return False

    def apply_heartbeat(
        self, heartbeat: heartbeats.Heartbeat, now: clock.Ms
    ) -> bool:
        """Apply a heartbeat; return whether it is new.

        :param heartbeat: received directly or forwarded.
        :param now: monotonic time in ms.
        """
        known = self.member_by_name.get(heartbeat.name)
        if known is None or known.incarnation != heartbeat.incarnation:
            return False
        if known.state not in _ALIVE:
            return False
        return self._record_heartbeat(
            known, heartbeat.counter, heartbeat.version, now
        )

    def sweep(self, now: clock.Ms, own: str) -> None:
        """Mark silent members as suspected, and after longer as dead.

        :param now: monotonic time in ms.
        :param own: name of this daemon, which is left out.
        """
        for name in self.alive() - {own}:
            silent = now - self._heard_at_by_name[name]
            known = self.member_by_name[name]
            if silent >= self._timing.dead_after:
                self._put(known._replace(state=members.MemberState.DEAD), now)
            elif silent >= self._timing.suspect_after:
                self.member_by_name[name] = known._replace(
                    state=members.MemberState.SUSPECT
                )
        self._forget_dead(now)
        self._drop_old_records(now)

    def reset_timers(self, now: clock.Ms) -> None:
        """Restart the silence timers of all members after a pause.

        All members seem silent then; marking them dead would make this daemon
        the coordinator of every key.

        :param now: monotonic time in ms.
        """
        for name in self._heard_at_by_name:
            self._heard_at_by_name[name] = now

    def forget(self, name: str) -> None:
        """Stop counting a dead member.

        :param name: a member whose VM the platform removed.
        """
        self._died_at_by_name.pop(name, None)

    def _drop_old_records(self, now: clock.Ms) -> None:
        # VMs are replaced often, and each new one has a new name.  A record is
        # kept until no message about its incarnation can be in transit.
        keep = _RECORD_RETENTION_FACTOR * self._timing.forget_after
        for name, heard_at in list(self._heard_at_by_name.items()):
            if name not in self.known() and now - heard_at > keep:
                del self._heard_at_by_name[name]
                del self.member_by_name[name]

    def _forget_dead(self, now: clock.Ms) -> None:
        # In a network partition only the larger side forgets the other.
        # Otherwise both sides of a long one would consider themselves the
        # whole data centre and lend every limit twice.
        if 2 * len(self.alive()) <= len(self.known()):
            return
        for name, died_at in list(self._died_at_by_name.items()):
            if now - died_at >= self._timing.forget_after:
                self.forget(name)

    def _record_heartbeat(
        self,
        known: members.Member,
        heartbeat: int,
        version: int,
        now: clock.Ms,
    ) -> bool:
        if heartbeat <= known.heartbeat:
            if heartbeat == known.heartbeat:
                self.heartbeats.record_duplicate(known.name)
            return False
        self._invariants.check(
            "a dead incarnation does not come back",
            known.state in _ALIVE,
            f"{known}",
        )
        self.member_by_name[known.name] = known._replace(
            heartbeat=heartbeat,
            version=max(version, known.version),
            state=members.MemberState.ALIVE,
        )
        self._heard_at_by_name[known.name] = now
        self.heartbeats.put(known.name, _HEARTBEAT_TRANSMISSIONS)
        return True

    def _put(self, record: members.Member, now: clock.Ms) -> None:
        known = self.member_by_name.get(record.name)
        self._invariants.check(
            "a dead incarnation does not come back",
            known is None
            or record.state not in _ALIVE
            or record.incarnation > known.incarnation,
            f"{known} {record}",
        )
        self.member_by_name[record.name] = record
        self._heard_at_by_name[record.name] = now
        self._died_at_by_name.pop(record.name, None)
        if record.state is members.MemberState.DEAD:
            self._died_at_by_name[record.name] = now
        self.updates.put(record.name, _MEMBER_TRANSMISSIONS, urgent=True)
        self._alive = None

    def roster(self) -> tuple[members.Member, ...]:
        """Return all records, for a new or a diverged member."""
        return tuple(self.member_by_name.values())

    def heartbeat_of(self, name: str) -> heartbeats.Heartbeat | None:
        """Return a member's last heartbeat, or ``None`` if it is dead.

        :param name: the member.
        """
        known = self.member_by_name.get(name)
        if known is None or known.state not in _ALIVE:
            return None
        return heartbeats.Heartbeat(
            name, known.incarnation, known.heartbeat, known.version
        )

    def prioritize_heartbeats(self, names: Iterable[str]) -> None:
        """Send some heartbeats before all others.

        :param names: the members.
        """
        for name in names:
            self.heartbeats.put(name, _HEARTBEAT_TRANSMISSIONS, urgent=True)
