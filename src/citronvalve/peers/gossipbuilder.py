"""Builds gossip messages of bounded size."""

from citronvalve.model import clock
from citronvalve.peers import gossip
from citronvalve.peers import heartbeat
from citronvalve.peers import state as states
from citronvalve.peers import summary as summaries
from citronvalve.peers import tablepage

#: Records in one message to a member of the same data centre.  A daemon sends
#: and receives eight messages of at most 1.1 KB a second, which is less
#: than 19 KB/s in a fleet of any size.  Records that don't fit are sent later.
_MAX_MEMBERS = 4
_MAX_HEARTBEATS = 14
_MAX_OWN_LOADS = 16
_MAX_LOCAL_LOADS = 4
_MAX_REMOTE_LOADS = 4
_MAX_CRASHES = 4
_MAX_SUMMARIES = 1

#: Records in one message to another data centre.  About one a second is sent
#: and received.
_MAX_LOADS_TO_DATACENTRE = 24
_MAX_CRASHES_TO_DATACENTRE = 8
_MAX_CONTACTS = 3
_MAX_BEHIND = 4

#: Bytes of table rows in one gossip message.  Larger deltas are sent on
#: request, so that a member doesn't receive rows that it already holds.
_MAX_PAGE_BYTES = 2_048

#: Targets whose position in the rotation of loads is kept; beyond it all
#: rotations start again.
_MAX_TARGETS = 256

#: Members in a full roster.
_MAX_ROSTER_MEMBERS = 256


class GossipBuilder:
    """Builds gossip messages from the state.

    :param state: what this daemon knows of its peers.
    """

    def __init__(self, state: states.State) -> None:
        self._state = state
        self._next_remote_load = 0
        self._next_load_by_target: dict[str, int] = {}

    def for_member(
        self, target: str, now: clock.Ms, wants_reply: bool = False
    ) -> gossip.Gossip:
        """Build a message to a member of the same data centre.

        :param target: its name.
        :param now: monotonic time in ms.
        :param wants_reply: whether an immediate reply is needed.
        """
        state = self._state
        membership = state.membership
        known = membership.member_by_name.get(target)
        return gossip.Gossip(
            known.incarnation if target in membership.alive() else 0,
            state.table.version,
            state.table.digest,
            membership.digest(),
            wants_reply,
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
            page=self._page(known.version if known is not None else 0),
            table_age=self._table_age(now),
        )

    def full_roster(self, target: str, now: clock.Ms) -> gossip.Gossip:
        """Build a message with all members, for a new or diverged member.

        :param target: its name.
        :param now: monotonic time in ms.
        """
        roster = self._state.membership.roster()[:_MAX_ROSTER_MEMBERS]
        return self.for_member(target, now)._replace(
            members=roster, summaries=self._state.remote.summaries(now)
        )

    def for_datacentre(
        self, datacentre: str, now: clock.Ms, wants_reply: bool = False
    ) -> gossip.Gossip:
        """Build a message to another data centre.

        :param datacentre: its name.
        :param now: monotonic time in ms.
        :param wants_reply: whether an immediate reply is needed.
        """
        state = self._state
        known = state.remote.summary(datacentre)
        return gossip.Gossip(
            0,
            state.table.version,
            state.table.digest,
            wants_reply=wants_reply,
            loads=self._loads_for_datacentre(datacentre, now),
            crashes=state.crashes.reports(now)[-_MAX_CRASHES_TO_DATACENTRE:],
            summaries=(self.summary(),),
            page=self._page(known.version if known is not None else 0),
            table_age=self._table_age(now),
        )

    def introduction(self, now: clock.Ms) -> gossip.Gossip:
        """Build a reply to a new daemon of another data centre.

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
        """Return the summary of this data centre."""
        state = self._state
        alive = [
            state.membership.member_by_name[name]
            for name in sorted(state.membership.alive())
        ]
        lowest = min((member.version for member in alive), default=0)
        newest = max((member.version for member in alive), default=0)
        behind = [m.name for m in alive if m.version < newest]
        contacts = state.rng.sample(alive, min(_MAX_CONTACTS, len(alive)))
        return summaries.Summary(
            state.settings.datacentre,
            0,
            len(alive),
            lowest,
            tuple(behind[:_MAX_BEHIND]),
            tuple(summaries.Contact(m.name, m.address) for m in contacts),
        )

    def _table_age(self, now: clock.Ms) -> clock.Ms:
        at = self._state.table.confirmed_at
        return gossip.UNKNOWN_AGE if at is None else max(0, now - at)

    def _heartbeats(self) -> tuple[heartbeat.Heartbeat, ...]:
        # Every message contains the own heartbeat, since peers may have
        # stopped forwarding it, and it is needed to refute a suspicion.
        membership = self._state.membership
        own = membership.heartbeat_of(self._state.settings.name)
        others = membership.heartbeats.take(
            _MAX_HEARTBEATS, membership.heartbeat_of
        )
        return others if own is None or own in others else (own, *others)

    def _loads(self, target: str, now: clock.Ms) -> tuple:
        # Every member hears from every coordinator within seconds, so a
        # coordinator sends its own measurements itself.  If members forwarded
        # all of them, copies would take most of the bytes, and the loads
        # of 400 upstreams would be 19 s old.
        loads = self._state.loads
        own = loads.own_upstreams()
        start = self._next_load_by_target.get(target, 0) if own else 0
        batch = _next_in_rotation(own, start, _MAX_OWN_LOADS)
        if len(self._next_load_by_target) > _MAX_TARGETS:
            self._next_load_by_target.clear()
        self._next_load_by_target[target] = start + len(batch)

        def update(name: str):
            return loads.update_for(name, now)

        return (
            *(update(name) for name in batch),
            *loads.updates.take(_MAX_LOCAL_LOADS, update),
            *loads.remote_updates.take(_MAX_REMOTE_LOADS, update),
        )

    def _loads_for_datacentre(self, datacentre: str, now: clock.Ms) -> tuple:
        state = self._state
        if not state.is_neighbour(datacentre):
            return ()
        names = sorted(state.loads.measured_by(state.membership.alive()))
        # With more upstreams than fit into a message, other data centres
        # get older loads.
        batch = _next_in_rotation(
            names, self._next_remote_load, _MAX_LOADS_TO_DATACENTRE
        )
        self._next_remote_load += len(batch)
        return tuple(state.loads.update_for(name, now) for name in batch)

    def _page(self, version: int) -> tablepage.TablePage | None:
        table = self._state.table
        if version >= table.version:
            return None
        if table.size_after(version, _MAX_PAGE_BYTES) > _MAX_PAGE_BYTES:
            return None
        return table.page_after(tablepage.Cursor(version + 1))


def _next_in_rotation(
    names: list[str], start: int, max_names: int
) -> list[str]:
    """Return the next names of a rotation through all of them."""
    if len(names) <= max_names:
        return names
    start_index = start % len(names)
    return (names[start_index:] + names[:start_index])[:max_names]
