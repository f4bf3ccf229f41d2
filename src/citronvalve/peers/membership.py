"""The members of one data centre, as one of them sees them."""

from collections.abc import Iterable

import xxhash

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.peers import heartbeat as beats
from citronvalve.peers import member as members
from citronvalve.peers import timing as timings
from citronvalve.peers import updatequeue

_ALIVE = (members.MemberState.ALIVE, members.MemberState.SUSPECT)

#: Tellings of a join, death or leave: log2 of 52 members and one more, so
#: that a message lost here or there leaves nobody out.  A full roster
#: repairs the rest.
_MEMBER_TRANSMISSIONS = 7

#: The record of a member that is gone stays for this many spans of
#: forgetting: far longer than any message takes.
_RECORD_RETENTION_FACTOR = 10

#: Tellings of a heartbeat; the next one comes within a second anyway.
_HEARTBEAT_TRANSMISSIONS = 3


class Membership:
    """Merges what is heard; a higher incarnation wins, then a higher beat.

    :param timing: the fleet's spans.
    :param invariants: where promises are asserted.
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
        """Return the names of members that are not dead or gone."""
        if self._alive is None:
            self._alive = frozenset(
                name
                for name, member in self.member_by_name.items()
                if member.state in _ALIVE
            )
            self._digest = self._compute_digest(self._alive)
        return self._alive

    def known(self) -> frozenset[str]:
        """Return the members that still count: the alive and the dead."""
        return self.alive() | frozenset(self._died_at_by_name)

    def suspects(self) -> list[str]:
        """Return the names of members to be asked directly."""
        return [
            name
            for name in self.alive()
            if self.member_by_name[name].state is members.MemberState.SUSPECT
        ]

    def dead(self) -> list[members.Member]:
        """Return the dead, so that one may knock at their old address.

        Those that no longer count are among them: two members that were
        cut off from each other only, for long, hold each other dead while
        all others see both, and hearsay can't tell them so.
        """
        return [
            member
            for member in self.member_by_name.values()
            if member.state is members.MemberState.DEAD
        ]

    def digest(self) -> int:
        """Return a number that agrees when two rosters agree."""
        self.alive()
        return self._digest

    def _compute_digest(self, alive: frozenset[str]) -> int:
        lives = sorted(
            (name, self.member_by_name[name].incarnation) for name in alive
        )
        return xxhash.xxh32_intdigest(repr(lives).encode())

    def is_dead(self, name: str, incarnation: int) -> bool:
        """Tell whether this life of a member is over in this view.

        :param name: the member.
        :param incarnation: the life it speaks from.
        """
        held = self.member_by_name.get(name)
        if held is None:
            return False
        if incarnation < held.incarnation:
            return True
        return incarnation == held.incarnation and held.state not in _ALIVE

    def merge(self, record: members.Member, now: clock.Ms) -> bool:
        """Take in a record; tell whether it was news.

        :param record: as its sender saw it.
        :param now: monotonic time in ms.
        """
        held = self.member_by_name.get(record.name)
        if record.state is members.MemberState.SUSPECT:
            record = record._replace(state=members.MemberState.ALIVE)
        if held is None or record.incarnation > held.incarnation:
            self._put(record, now)
            return True
        if record.incarnation < held.incarnation or held.state not in _ALIVE:
            return False
        if record.state in _ALIVE:
            return self._record_heartbeat(
                held, record.heartbeat, record.version, now
            )
        # Hearsay of a death loses against a beat heard lately: one member
        # behind a bad link must not bury a daemon that others hear.
        if (
            record.state is members.MemberState.LEFT
            or held.state is members.MemberState.SUSPECT
        ):
            self._put(held._replace(state=record.state), now)
            return True
        return False

    def apply_heartbeat(self, beat: beats.Heartbeat, now: clock.Ms) -> bool:
        """Take in a heartbeat; tell whether it was a new one.

        :param beat: from its sender or passed on.
        :param now: monotonic time in ms.
        """
        held = self.member_by_name.get(beat.name)
        if held is None or held.incarnation != beat.incarnation:
            return False
        if held.state not in _ALIVE:
            return False
        return self._record_heartbeat(held, beat.counter, beat.version, now)

    def sweep(self, now: clock.Ms, own: str) -> None:
        """Suspect the silent and bury those silent for too long.

        :param now: monotonic time in ms.
        :param own: the member that looks, which does not doubt itself.
        """
        for name in self.alive() - {own}:
            silent = now - self._heard_at_by_name[name]
            held = self.member_by_name[name]
            if silent >= self._timing.dead_after:
                self._put(held._replace(state=members.MemberState.DEAD), now)
            elif silent >= self._timing.suspect_after:
                self.member_by_name[name] = held._replace(
                    state=members.MemberState.SUSPECT
                )
        self._forget_dead(now)
        self._drop_old_records(now)

    def reset_timers(self, now: clock.Ms) -> None:
        """Give every member time to be heard again.

        After a pause all others seem silent; burying them would make this
        daemon the keeper of everything.

        :param now: monotonic time in ms.
        """
        for name in self._heard_at_by_name:
            self._heard_at_by_name[name] = now

    def forget(self, name: str) -> None:
        """Stop counting a dead member.

        :param name: a member whose VM the platform gave back.
        """
        self._died_at_by_name.pop(name, None)

    def _drop_old_records(self, now: clock.Ms) -> None:
        # VMs are replaced all the time, and each new one has a new name.  A
        # record is kept until no message about its life can be on its way.
        keep = _RECORD_RETENTION_FACTOR * self._timing.forget_after
        for name, heard_at in list(self._heard_at_by_name.items()):
            if name not in self.known() and now - heard_at > keep:
                del self._heard_at_by_name[name]
                del self.member_by_name[name]

    def _forget_dead(self, now: clock.Ms) -> None:
        # Only the larger side of a cut forgets the other.  Otherwise both
        # sides of a long one would take themselves for the whole and lend
        # every limit twice.
        if 2 * len(self.alive()) <= len(self.known()):
            return
        for name, died_at in list(self._died_at_by_name.items()):
            if now - died_at >= self._timing.forget_after:
                self.forget(name)

    def _record_heartbeat(
        self, held: members.Member, beat: int, version: int, now: clock.Ms
    ) -> bool:
        if beat <= held.heartbeat:
            if beat == held.heartbeat:
                self.heartbeats.record_duplicate(held.name)
            return False
        self._invariants.check(
            "a dead incarnation does not come back",
            held.state in _ALIVE,
            f"{held}",
        )
        self.member_by_name[held.name] = held._replace(
            heartbeat=beat,
            version=max(version, held.version),
            state=members.MemberState.ALIVE,
        )
        self._heard_at_by_name[held.name] = now
        self.heartbeats.put(held.name, _HEARTBEAT_TRANSMISSIONS)
        return True

    def _put(self, record: members.Member, now: clock.Ms) -> None:
        held = self.member_by_name.get(record.name)
        self._invariants.check(
            "a dead incarnation does not come back",
            held is None
            or record.state not in _ALIVE
            or record.incarnation > held.incarnation,
            f"{held} {record}",
        )
        self.member_by_name[record.name] = record
        self._heard_at_by_name[record.name] = now
        self._died_at_by_name.pop(record.name, None)
        if record.state is members.MemberState.DEAD:
            self._died_at_by_name[record.name] = now
        self.updates.put(record.name, _MEMBER_TRANSMISSIONS, urgent=True)
        self._alive = None

    def roster(self) -> tuple[members.Member, ...]:
        """Return every record, for a newcomer or a repair."""
        return tuple(self.member_by_name.values())

    def heartbeat_of(self, name: str) -> beats.Heartbeat | None:
        """Return a member's last heartbeat, or ``None`` once it is dead.

        :param name: the member.
        """
        held = self.member_by_name.get(name)
        if held is None or held.state not in _ALIVE:
            return None
        return beats.Heartbeat(
            name, held.incarnation, held.heartbeat, held.version
        )

    def prioritize_heartbeats(self, names: Iterable[str]) -> None:
        """Tell some heartbeats before all others.

        :param names: the members.
        """
        for name in names:
            self.heartbeats.put(name, _HEARTBEAT_TRANSMISSIONS, urgent=True)
