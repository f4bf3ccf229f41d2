"""The protocol between peers, without I/O."""

import random

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import load
from citronvalve.peers import codec
from citronvalve.peers import confirmation as confirmations
from citronvalve.peers import envelope
from citronvalve.peers import gossip as gossips
from citronvalve.peers import gossipbuilder
from citronvalve.peers import listener as listeners
from citronvalve.peers import loanrequest as loanrequests
from citronvalve.peers import loanresponse as loanresponses
from citronvalve.peers import member as members
from citronvalve.peers import notice as notices
from citronvalve.peers import outgoing
from citronvalve.peers import peersettings
from citronvalve.peers import replier
from citronvalve.peers import schedule
from citronvalve.peers import state as states
from citronvalve.peers import tabledelta
from citronvalve.peers import tablepage
from citronvalve.peers import tablerequest
from citronvalve.peers import tablesync

_Out = list[outgoing.Outgoing]

#: Ticks between two removals of expired state.
_PRUNE_INTERVAL_TICKS = 40

#: Ticks between two checks for silent members.
_SWEEP_INTERVAL_TICKS = 2


class Core:
    """Handles messages and ticks, and returns the messages to send.

    :param settings: this daemon's settings.
    :param clock_: the clock.
    :param rng: source of randomness.
    :param invariants: checks the invariants.
    :param listener: called with new tables, loans and loads.
    :ivar state: what this daemon knows of its peers.
    :ivar schedule: chooses the recipients of gossip.
    """

    def __init__(
        self,
        settings: peersettings.PeerSettings,
        clock_: clock.Clock,
        rng: random.Random,
        invariants: invariant.Invariants,
        listener: listeners.Listener,
    ) -> None:
        self.state = states.State(settings, clock_, rng, invariants)
        self._listener = listener
        self._gossip_builder = gossipbuilder.GossipBuilder(self.state)
        self.schedule = schedule.Schedule(self.state, self._gossip_builder)
        self._active_incarnation = self.state.authority.incarnation
        self._heartbeat_at = clock_.now()
        self._ticks = 0
        self._sync = tablesync.TableSync(
            self.state, listener, lambda: self._advance_heartbeat(clock_.now())
        )
        self._replier = replier.Replier(
            self.state, self._gossip_builder, self.schedule.pacer
        )
        self.state.advance_heartbeat(clock_.now())
        self._handler_by_type = {
            gossips.Gossip: self._on_gossip,
            tablerequest.TableRequest: self._sync.on_request,
            tablepage.TablePage: self._sync.on_page,
            notices.DeathNotice: self._on_notice,
            loanrequests.LoanRequest: self._on_loan_request,
            loanresponses.LoanResponse: self._on_loan_response,
        }

    @property
    def sender(self) -> envelope.Sender:
        """Return this daemon as the sender of its messages."""
        settings = self.state.settings
        return envelope.Sender(
            settings.name,
            settings.datacentre,
            self.state.authority.incarnation,
            settings.address,
        )

    def tick(self) -> _Out:
        """Do what is due; called every ``timing.tick_interval`` ms."""
        state, now = self.state, self.state.clock.now()
        self._ticks += 1
        if state.authority.tick(bool(state.others())):
            state.membership.reset_timers(now)
        self._check_incarnation(now)
        if (
            now - self._heartbeat_at
            >= state.settings.timing.heartbeat_interval
        ):
            self._advance_heartbeat(now)
        if self._ticks % _SWEEP_INTERVAL_TICKS == 0:
            state.membership.sweep(now, state.settings.name)
        if self._ticks % _PRUNE_INTERVAL_TICKS == 0:
            self._prune(now)
        state.record_view(now)
        return [*self.schedule.tick(now), *self.loan_requests(now)]

    def loan_requests(self, now: clock.Ms) -> _Out:
        """Return the loan requests that are due.

        :param now: monotonic time in ms.
        """
        state = self.state
        out = []
        for addressed in state.loan_manager.due_requests(
            state.membership.alive(), now
        ):
            if addressed.lender == state.settings.name:
                self._lend_to_self(addressed.request, now)
                continue
            lender = state.membership.member_by_name[addressed.lender]
            out.append(outgoing.Outgoing(lender.address, addressed.request))
        return out

    def handle(self, received: codec.ReceivedMessage) -> _Out:
        """Handle a message; return the replies.

        :param received: the decoded message and its sender.
        """
        state, now = self.state, self.state.clock.now()
        sender = received.sender
        if sender.name == state.settings.name:
            return []
        is_local = sender.datacentre == state.settings.datacentre
        state.authority.has_met_peer = True
        if is_local and type(received.message) is not notices.DeathNotice:
            if state.membership.is_dead(sender.name, sender.incarnation):
                return self._replier.death_notice(sender)
            self._add_sender(sender, now)
        handler = self._handler_by_type[type(received.message)]
        out = handler(sender, received.message, now)
        self._check_incarnation(now)
        state.record_view(now)
        return out

    def publish_table(self, delta: tabledelta.TableDelta) -> bool:
        """Apply a version that a watcher read; return whether it is newer.

        :param delta: as read from the platform.
        """
        return self._sync.publish(delta)

    def reconcile_table(self, full: tabledelta.TableDelta) -> None:
        """Replace the rows held if they differ from the platform's.

        :param full: the full table, read from the platform.
        """
        self._sync.reconcile(full)

    def publish_load(self, report: load.LoadReport) -> None:
        """Record a load that this daemon measured.

        :param report: of an upstream that it coordinates.
        """
        self.state.loads.record(report)
        self._listener.on_load(report)

    def confirmation(self, version: int) -> confirmations.Confirmation:
        """Return which members have confirmed a version of the table.

        :param version: the version, or a later one.
        """
        state = self.state
        alive = [
            state.membership.member_by_name[name]
            for name in sorted(state.membership.alive())
        ]
        silent = [m.name for m in alive if m.version < version]
        member_count = len(alive)
        for summary in state.remote.summaries(state.clock.now()):
            member_count += summary.members
            if summary.version < version:
                behind = ", ".join(summary.behind) or "some members"
                silent.append(f"{summary.datacentre}: {behind}")
        return confirmations.Confirmation(version, member_count, tuple(silent))

    def leave(self) -> _Out:
        """Announce the leave, so that peers need not detect it."""
        state = self.state
        own = state.membership.member_by_name[state.settings.name]
        left = own._replace(state=members.MemberState.LEFT)
        message = gossips.Gossip(
            0, state.table.version, state.table.digest, members=(left,)
        )
        return [
            outgoing.Outgoing(
                state.membership.member_by_name[name].address, message
            )
            for name in sorted(state.others())
        ]

    def _on_gossip(
        self, sender: envelope.Sender, message: gossips.Gossip, now: clock.Ms
    ) -> _Out:
        state = self.state
        is_local = sender.datacentre == state.settings.datacentre
        if is_local:
            self._merge_members(message, now)
        self._sync.check_peer_table(message, now)
        for summary in message.summaries:
            state.remote.apply(summary, now)
            if summary.datacentre == state.settings.datacentre:
                self.schedule.set_extra_seeds(
                    [c.address for c in summary.contacts]
                )
        for update in message.loads:
            is_remote = (
                update.coordinator not in state.membership.member_by_name
            )
            if state.loads.apply(update, now, is_remote):
                self._listener.on_load(state.loads.report(update.upstream))
        for report in message.crashes:
            state.crashes.record(report, now)
        if message.page is not None:
            self._sync.apply_page(message.page)
        out = self._sync.request(sender, message.table_version)
        return out + self._replier.reply(sender, message, is_local)

    def _merge_members(self, message: gossips.Gossip, now: clock.Ms) -> None:
        state = self.state
        own = state.settings.name
        for record in message.members:
            if record.name == own:
                self._check_own_record(record)
            elif record.datacentre == state.settings.datacentre:
                state.membership.merge(record, now)
        for heartbeat in message.heartbeats:
            if heartbeat.name != own:
                state.membership.apply_heartbeat(heartbeat, now)
        if message.known_incarnation > state.authority.incarnation:
            state.authority.mark_dead(message.known_incarnation)
        state.authority.acknowledge(message.known_incarnation)

    def _check_own_record(self, record: members.Member) -> None:
        authority = self.state.authority
        is_over = record.state in (
            members.MemberState.DEAD,
            members.MemberState.LEFT,
        )
        if is_over or record.incarnation > authority.incarnation:
            authority.mark_dead(record.incarnation)

    def _on_notice(
        self, sender: envelope.Sender, message: notices.DeathNotice, now: int
    ) -> _Out:
        self.state.authority.mark_dead(message.incarnation)
        return []

    def _on_loan_request(
        self,
        sender: envelope.Sender,
        message: loanrequests.LoanRequest,
        now: clock.Ms,
    ) -> _Out:
        response = self.state.loan_manager.handle_request(
            message, sender.name, sender.incarnation, now
        )
        if response is None:
            return []
        return [outgoing.Outgoing(sender.address, response)]

    def _on_loan_response(
        self,
        sender: envelope.Sender,
        message: loanresponses.LoanResponse,
        now: clock.Ms,
    ) -> _Out:
        for loan in self.state.loan_manager.apply_response(
            message, sender.name, now
        ):
            self._listener.on_loan(loan)
        return []

    def _lend_to_self(
        self, request: loanrequests.LoanRequest, now: clock.Ms
    ) -> None:
        own = self.sender
        response = self.state.loan_manager.handle_request(
            request, own.name, own.incarnation, now
        )
        if response is not None:
            self._on_loan_response(own, response, now)

    def _add_sender(self, sender: envelope.Sender, now: clock.Ms) -> None:
        known = self.state.membership.member_by_name.get(sender.name)
        if known is None or sender.incarnation > known.incarnation:
            self.state.membership.merge(
                members.Member(
                    sender.name,
                    sender.datacentre,
                    sender.address,
                    sender.incarnation,
                ),
                now,
            )

    def _advance_heartbeat(self, now: clock.Ms) -> None:
        self._heartbeat_at = now
        self.state.advance_heartbeat(now)

    def _check_incarnation(self, now: clock.Ms) -> None:
        authority = self.state.authority
        if authority.incarnation == self._active_incarnation:
            return
        self._active_incarnation = authority.incarnation
        self.state.loan_manager.reset()
        self._advance_heartbeat(now)
        self._listener.on_new_incarnation()

    def _prune(self, now: clock.Ms) -> None:
        state = self.state
        state.loads.prune(now)
        state.crashes.prune(now)
        state.loan_manager.lender.prune(now)
        state.loan_manager.borrower.prune(now)
        self.schedule.pacer.prune(now)
