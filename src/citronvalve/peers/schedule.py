"""Chooses the recipients of gossip in each tick."""

from citronvalve.model import clock
from citronvalve.peers import gossipbuilder as gossipbuilders
from citronvalve.peers import outgoing
from citronvalve.peers import pacer as pacers
from citronvalve.peers import rendezvous
from citronvalve.peers import state as states

#: Members of a data centre that send to one other data centre; the second one
#: covers for the death of the first.  Each other data centre has two relays
#: of its own, which spreads the work over the members.
_RELAYS = 2

#: Ticks between two probes of addresses that are not known to be alive.
_PROBE_INTERVAL_TICKS = 8


class Schedule:
    """Sends gossip to one member a tick, and less often elsewhere.

    :param state: what this daemon knows of its peers.
    :param gossip_builder: builds the messages.
    :ivar pacer: limits the rate of messages to each target.
    """

    def __init__(
        self, state: states.State, gossip_builder: gossipbuilders.GossipBuilder
    ) -> None:
        self._state = state
        self._gossip_builder = gossip_builder
        self.pacer = pacers.Pacer(
            state.settings.timing.send_interval, state.rng
        )
        self._ticks = 0
        self._extra_seeds: set[str] = set()

    def set_extra_seeds(self, addresses: list[str]) -> None:
        """Set the addresses to probe besides the configured seeds.

        :param addresses: hints from the platform's list or from another data
            centre.
        """
        self._extra_seeds = set(addresses)

    def tick(self, now: clock.Ms) -> list[outgoing.Outgoing]:
        """Return the gossip to send in this tick.

        :param now: monotonic time in ms.
        """
        self._ticks += 1
        out = [*self._to_member(now), *self._to_datacentre(now)]
        joining = self._state.authority.is_joining()
        if joining or self._ticks % _PROBE_INTERVAL_TICKS == 0:
            out += self._probe_address(now)
        return out

    def _to_member(self, now: clock.Ms) -> list[outgoing.Outgoing]:
        state = self._state
        target = self._pick_suspect(now) or self._pick_outdated(now)
        target = target or self.pacer.pick_least_recent(
            sorted(state.others()), now
        )
        if target is None:
            return []
        self.pacer.record_sent(target, now)
        member = state.membership.member_by_name[target]
        # A reply refutes a suspicion, or acknowledges this daemon's
        # incarnation while it is joining.
        wants_reply = target in state.membership.suspects()
        wants_reply = wants_reply or state.authority.is_joining()
        message = self._gossip_builder.for_member(target, now, wants_reply)
        return [outgoing.Outgoing(member.address, message)]

    def _pick_suspect(self, now: clock.Ms) -> str | None:
        return self.pacer.pick_random(self._state.membership.suspects(), now)

    def _pick_outdated(self, now: clock.Ms) -> str | None:
        state = self._state
        by_name = state.membership.member_by_name
        version = state.table.version
        return self.pacer.pick_random(
            [
                name
                for name in state.others()
                if by_name[name].version < version
            ],
            now,
        )

    def _to_datacentre(self, now: clock.Ms) -> list[outgoing.Outgoing]:
        state = self._state
        if not state.authority.may_act():
            return []
        name = self.pacer.pick_least_recent(
            [
                f"dc/{name}"
                for name in state.remote.names()
                if self._is_relay_to(name)
            ],
            now,
        )
        if name is None:
            return []
        self.pacer.record_sent(name, now)
        datacentre = name.removeprefix("dc/")
        contacts = state.remote.contacts(datacentre)
        if not contacts:
            return []
        address = state.rng.choice(contacts).address
        message = self._gossip_builder.for_datacentre(datacentre, now)
        return [outgoing.Outgoing(address, message)]

    def _is_relay_to(self, datacentre: str) -> bool:
        state = self._state
        key = f"relay/{datacentre}"
        ranked = rendezvous.rank(key, state.membership.alive())
        return state.settings.name in ranked[:_RELAYS]

    def _probe_address(self, now: clock.Ms) -> list[outgoing.Outgoing]:
        """Send gossip to an address whose daemon is not known to be alive.

        After a network partition both sides consider each other dead, and a
        whole data centre may have got new addresses.  Without probes they
        would never find each other again.
        """
        state = self._state
        addresses = {member.address for member in state.membership.dead()}
        addresses |= self._extra_seeds | set(state.settings.seeds)
        addresses -= {
            state.membership.member_by_name[name].address
            for name in state.membership.alive()
        }
        target = self.pacer.pick_random(addresses, now)
        if target is None:
            return []
        self.pacer.record_sent(target, now)
        message = self._gossip_builder.for_member("", now, wants_reply=True)
        # A seed in another data centre passes the summary on, by which new
        # daemons find each other.
        summary = self._gossip_builder.summary()
        message = message._replace(summaries=(summary,))
        return [outgoing.Outgoing(target, message)]
