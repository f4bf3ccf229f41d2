"""Replies to gossip."""

from citronvalve.model import clock
from citronvalve.peers import envelope
from citronvalve.peers import gossip as gossips
from citronvalve.peers import gossipbuilder as gossipbuilders
from citronvalve.peers import member as members
from citronvalve.peers import notice as notices
from citronvalve.peers import outgoing
from citronvalve.peers import pacer as pacers
from citronvalve.peers import state as states

_Out = list[outgoing.Outgoing]


class Replier:
    """Replies to new daemons, diverged members and dead incarnations.

    :param state: what this daemon knows of its peers.
    :param gossip_builder: builds the messages.
    :param pacer: limits the rate of notices.
    """

    def __init__(
        self,
        state: states.State,
        gossip_builder: gossipbuilders.GossipBuilder,
        pacer: pacers.Pacer,
    ) -> None:
        self._state = state
        self._gossip_builder = gossip_builder
        self._pacer = pacer
        self._roster_sent_at: clock.Ms | None = None

    def reply(
        self,
        sender: envelope.Sender,
        message: gossips.Gossip,
        is_local: bool,
    ) -> _Out:
        """Return the reply to gossip, if its sender needs one.

        :param sender: the peer.
        :param message: its gossip.
        :param is_local: whether the peer is in this data centre.
        """
        state, now = self._state, self._state.clock.now()
        if not is_local:
            if not message.wants_reply:
                return []
            reply = self._gossip_builder.introduction(now)
            return [outgoing.Outgoing(sender.address, reply)]
        diverged = message.roster_digest not in (0, state.membership.digest())
        if diverged and self._roster_due(now):
            self._roster_sent_at = now
            reply = self._gossip_builder.full_roster(sender.name, now)
            return [outgoing.Outgoing(sender.address, reply)]
        if message.wants_reply:
            reply = self._gossip_builder.for_member(sender.name, now)
            return [outgoing.Outgoing(sender.address, reply)]
        return []

    def _roster_due(self, now: clock.Ms) -> bool:
        sent_at = self._roster_sent_at
        return (
            sent_at is None
            or now - sent_at >= self._state.settings.timing.repair_interval
        )

    def death_notice(self, sender: envelope.Sender) -> _Out:
        """Return a notice to a dead incarnation, at most one a second.

        :param sender: the peer, with its dead incarnation.
        """
        state, now = self._state, self._state.clock.now()
        target = f"notice/{sender.name}"
        if not self._pacer.may_send(target, now):
            return []
        self._pacer.record_sent(target, now)
        known = state.membership.member_by_name[sender.name]
        dead_incarnation = known.incarnation
        if known.state in (
            members.MemberState.ALIVE,
            members.MemberState.SUSPECT,
        ):
            dead_incarnation -= 1
        return [
            outgoing.Outgoing(
                sender.address, notices.DeathNotice(dead_incarnation)
            )
        ]
