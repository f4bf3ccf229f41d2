"""Answers that gossip calls for."""

from citronvalve.model import clock
from citronvalve.peers import envelope
from citronvalve.peers import gossip as gossips
from citronvalve.peers import gossipbuilder as gossipers
from citronvalve.peers import member as members
from citronvalve.peers import notice as notices
from citronvalve.peers import outgoing
from citronvalve.peers import pacer as pacers
from citronvalve.peers import state as states

_Out = list[outgoing.Outgoing]


class Replier:
    """Introduces newcomers, repairs rosters and tells the buried.

    :param state: all that this daemon knows.
    :param gossiper: writes the messages.
    :param pacer: bounds how often.
    """

    def __init__(
        self,
        state: states.State,
        gossiper: gossipers.GossipBuilder,
        pacer: pacers.Pacer,
    ) -> None:
        self._state = state
        self._gossip_builder = gossiper
        self._pacer = pacer
        self._roster_sent_at: clock.Ms | None = None

    def reply(
        self,
        sender: envelope.Sender,
        message: gossips.Gossip,
        near: bool,
    ) -> _Out:
        """Answer gossip where its sender needs an answer.

        :param sender: the peer.
        :param message: its gossip.
        :param near: whether it is of this data centre.
        """
        state, now = self._state, self._state.clock.now()
        if not near:
            if not message.wants_reply:
                return []
            reply = self._gossip_builder.introduction(now)
            return [outgoing.Outgoing(sender.address, reply)]
        astray = message.roster_digest not in (0, state.membership.digest())
        if astray and self._roster_due(now):
            self._roster_sent_at = now
            reply = self._gossip_builder.full_roster(sender.name, now)
            return [outgoing.Outgoing(sender.address, reply)]
        if message.wants_reply:
            reply = self._gossip_builder.for_member(sender.name, now)
            return [outgoing.Outgoing(sender.address, reply)]
        return []

    def _roster_due(self, now: clock.Ms) -> bool:
        at = self._roster_sent_at
        return (
            at is None
            or now - at >= self._state.settings.timing.repair_interval
        )

    def death_notice(self, sender: envelope.Sender) -> _Out:
        """Tell a peer that its life is over, once a second at most.

        :param sender: the peer, speaking from a buried life.
        """
        state, now = self._state, self._state.clock.now()
        target = f"notice/{sender.name}"
        if not self._pacer.may_send(target, now):
            return []
        self._pacer.record_sent(target, now)
        held = state.membership.member_by_name[sender.name]
        over = held.incarnation
        if held.state in (
            members.MemberState.ALIVE,
            members.MemberState.SUSPECT,
        ):
            over -= 1
        return [outgoing.Outgoing(sender.address, notices.DeathNotice(over))]
