"""Whom a daemon writes to in each tick."""

from citronvalve.model import clock
from citronvalve.peers import gossipbuilder as gossipers
from citronvalve.peers import outgoing
from citronvalve.peers import pacer as pacers
from citronvalve.peers import rendezvous
from citronvalve.peers import state as states

#: Members of a data centre that write to one other data centre: a second
#: one, so that the death of the first is not felt.  Which two differs from
#: one data centre to the next, which spreads the work over the members.
_RELAYS = 2

#: Ticks between two knocks at an address that does not answer.
_PROBE_INTERVAL_TICKS = 8


class Schedule:
    """One message to a member a tick, and now and then one further out.

    :param state: all that this daemon knows.
    :param gossiper: writes the messages.
    """

    def __init__(
        self, state: states.State, gossiper: gossipers.GossipBuilder
    ) -> None:
        self._state = state
        self._gossip_builder = gossiper
        self.pacer = pacers.Pacer(
            state.settings.timing.send_interval, state.rng
        )
        self._ticks = 0
        self._extra_seeds: set[str] = set()

    def set_extra_seeds(self, addresses: list[str]) -> None:
        """Take addresses to knock at beside the settings' seeds.

        :param addresses: from the platform's list, or from another data
            centre.  They are hints only.
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
        held = state.membership.member_by_name[target]
        # A suspect is asked for an answer, and so is anyone who may
        # acknowledge a life that may not act yet.
        reply = target in state.membership.suspects()
        reply = reply or state.authority.is_joining()
        message = self._gossip_builder.for_member(target, now, reply)
        return [outgoing.Outgoing(held.address, message)]

    def _pick_suspect(self, now: clock.Ms) -> str | None:
        return self.pacer.pick_random(self._state.membership.suspects(), now)

    def _pick_outdated(self, now: clock.Ms) -> str | None:
        state = self._state
        by_name = state.membership.member_by_name
        version = state.table.version
        return self.pacer.pick_random(
            [n for n in state.others() if by_name[n].version < version], now
        )

    def _to_datacentre(self, now: clock.Ms) -> list[outgoing.Outgoing]:
        state = self._state
        if not state.authority.may_act():
            return []
        name = self.pacer.pick_least_recent(
            [f"dc/{n}" for n in state.remote.names() if self._is_relay_to(n)],
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
        """Write to an address that may be anyone's.

        After a cut both sides hold each other dead, and a whole data centre
        may have got new addresses: without a knock they would never meet
        again.
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
        message = self._gossip_builder.for_member("", now, reply=True)
        # A seed in another data centre introduces newcomers to each other
        # by what they tell of themselves.
        summary = self._gossip_builder.summary()
        message = message._replace(summaries=(summary,))
        return [outgoing.Outgoing(target, message)]
