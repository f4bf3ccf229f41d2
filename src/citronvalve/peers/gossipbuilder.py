"""Puts gossip together, within what a message may hold."""

from citronvalve.model import clock
from citronvalve.peers import gossip
from citronvalve.peers import heartbeat
from citronvalve.peers import state as states
from citronvalve.peers import summary as summaries
from citronvalve.peers import tablepage

#: Records in one message to a member of the same data centre.  Eight
#: messages a second of at most 1.1 KB go out and come in, which keeps a
#: daemon under 19 KB/s at any size; what does not fit waits and grows older.
_MAX_MEMBERS = 4
_MAX_HEARTBEATS = 14
_MAX_OWN_LOADS = 16
_MAX_LOCAL_LOADS = 4
_MAX_REMOTE_LOADS = 4
_MAX_CRASHES = 4
_MAX_SUMMARIES = 1

#: Records in one message to another data centre; about one a second goes
#: out and comes in.
_MAX_LOADS_TO_DATACENTRE = 24
_MAX_CRASHES_TO_DATACENTRE = 8
_MAX_CONTACTS = 3
_MAX_BEHIND = 4

#: Bytes of table rows that ride on gossip.  Larger deltas are asked for, so
#: that they don't travel twice to a member that has them already.
_MAX_PAGE_BYTES = 2_048

#: Members whose turn is remembered; forgetting starts their turns anew.
_MAX_TARGETS = 256

#: A whole answer to a newcomer, rows of the table aside.
_MAX_ROSTER_MEMBERS = 256


class GossipBuilder:
    """Reads the state and writes messages; decides nothing else.

    :param state: all that this daemon knows.
    """

    def __init__(self, state: states.State) -> None:
        self._state = state
        self._next_remote_load = 0
        self._next_load_by_target: dict[str, int] = {}

    def for_member(
        self, target: str, now: clock.Ms, reply: bool = False
    ) -> gossip.Gossip:
        """Write to a member of the same data centre.

        :param target: its name.
        :param now: monotonic time in ms.
        :param reply: whether an answer is needed at once.
        """
        state = self._state
        membership = state.membership
        held = membership.member_by_name.get(target)
        return gossip.Gossip(
            held.incarnation if target in membership.alive() else 0,
            state.table.version,
            state.table.digest,
            membership.digest(),
            reply,
            members=membership.updates.take(
                _MAX_MEMBERS, membership.member_by_name.get
            ),
            heartbeats=self._heartbeats(),
            loads=self._loads(target, now),
            crashes=state.crashes.updates.take(
                _MAX_CRASHES, lambda key: state.crashes.update_for(key, now)
            ),
            summaries=state.remote.updates.take(
                _MAX_SUMMARIES,
                lambda name: state.remote.current_summary(name, now),
            ),
            page=self._page(held.version if held is not None else 0),
            table_age=self._table_age(now),
        )

    def full_roster(self, target: str, now: clock.Ms) -> gossip.Gossip:
        """Write all that a newcomer or a member gone astray needs.

        :param target: its name.
        :param now: monotonic time in ms.
        """
        whole = self._state.membership.roster()[:_MAX_ROSTER_MEMBERS]
        return self.for_member(target, now)._replace(
            members=whole, summaries=self._state.remote.summaries(now)
        )

    def for_datacentre(
        self, datacentre: str, now: clock.Ms, reply: bool = False
    ) -> gossip.Gossip:
        """Write to another data centre.

        :param datacentre: its name.
        :param now: monotonic time in ms.
        :param reply: whether an answer is needed at once.
        """
        state = self._state
        held = state.remote.summary(datacentre)
        return gossip.Gossip(
            0,
            state.table.version,
            state.table.digest,
            wants_reply=reply,
            loads=self._loads_for_datacentre(datacentre, now),
            crashes=state.crashes.reports(now)[-_MAX_CRASHES_TO_DATACENTRE:],
            summaries=(self.summary(),),
            page=self._page(held.version if held is not None else 0),
            table_age=self._table_age(now),
        )

    def introduction(self, now: clock.Ms) -> gossip.Gossip:
        """Answer a newcomer from another data centre.

        :param now: monotonic time in ms.
        """
        state = self._state
        return gossip.Gossip(
            0,
            state.table.version,
            state.table.digest,
            summaries=(self.summary(), *state.remote.summaries(now)),
        )

    def summary(self) -> summaries.Summary:
        """Return this data centre at a glance."""
        state = self._state
        living = [
            state.membership.member_by_name[name]
            for name in sorted(state.membership.alive())
        ]
        lowest = min((member.version for member in living), default=0)
        newest = max((member.version for member in living), default=0)
        behind = [m.name for m in living if m.version < newest]
        chosen = state.rng.sample(living, min(_MAX_CONTACTS, len(living)))
        return summaries.Summary(
            state.settings.datacentre,
            0,
            len(living),
            lowest,
            tuple(behind[:_MAX_BEHIND]),
            tuple(summaries.Contact(m.name, m.address) for m in chosen),
        )

    def _table_age(self, now: clock.Ms) -> clock.Ms:
        at = self._state.table.confirmed_at
        return gossip.UNKNOWN_AGE if at is None else max(0, now - at)

    def _heartbeats(self) -> tuple[heartbeat.Heartbeat, ...]:
        # The own heartbeat is in every message: others may have stopped
        # telling of it, and an answer to a suspicion without it says
        # nothing.
        membership = self._state.membership
        own = membership.heartbeat_of(self._state.settings.name)
        told = membership.heartbeats.take(
            _MAX_HEARTBEATS, membership.heartbeat_of
        )
        return told if own is None or own in told else (own, *told)

    def _loads(self, target: str, now: clock.Ms) -> tuple:
        # Every member hears from every keeper within seconds, so a keeper
        # tells its own measurements itself.  Passing all of them on took
        # most of the bytes for copies, and 400 upstreams were 19 s old.
        loads = self._state.loads
        own = loads.own_upstreams()
        start = self._next_load_by_target.get(target, 0) if own else 0
        turn = _next_in_rotation(own, start, _MAX_OWN_LOADS)
        if len(self._next_load_by_target) > _MAX_TARGETS:
            self._next_load_by_target.clear()
        self._next_load_by_target[target] = start + len(turn)

        def rumor(name: str):
            return loads.update_for(name, now)

        return (
            *(rumor(name) for name in turn),
            *loads.updates.take(_MAX_LOCAL_LOADS, rumor),
            *loads.remote_updates.take(_MAX_REMOTE_LOADS, rumor),
        )

    def _loads_for_datacentre(self, datacentre: str, now: clock.Ms) -> tuple:
        state = self._state
        if not state.is_neighbour(datacentre):
            return ()
        names = sorted(state.loads.measured_by(state.membership.alive()))
        # A data centre with more upstreams than fit is known with more
        # age abroad.
        turn = _next_in_rotation(
            names, self._next_remote_load, _MAX_LOADS_TO_DATACENTRE
        )
        self._next_remote_load += len(turn)
        return tuple(state.loads.update_for(name, now) for name in turn)

    def _page(self, version: int) -> tablepage.TablePage | None:
        table = self._state.table
        if version >= table.version:
            return None
        if table.size_after(version, _MAX_PAGE_BYTES) > _MAX_PAGE_BYTES:
            return None
        return table.page_after(tablepage.Cursor(version + 1))


def _next_in_rotation(names: list[str], start: int, most: int) -> list[str]:
    """Return the next names of a turn through all of them."""
    if len(names) <= most:
        return names
    at = start % len(names)
    return (names[at:] + names[:at])[:most]
