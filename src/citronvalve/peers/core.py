"""One daemon among its peers: messages and ticks in, messages out."""

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
from citronvalve.peers import loanrequest as asks
from citronvalve.peers import loanresponse as lents
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

#: Ticks between two looks for what has run out.
_PRUNE_INTERVAL_TICKS = 40

#: Ticks between two looks for silent members.
_SWEEP_INTERVAL_TICKS = 2


class Core:
    """Everything but the sockets; runs in a test as it runs in a daemon.

    :param settings: this daemon among its peers.
    :param clock_: the clock.
    :param rng: chance.
    :param invariants: where promises are asserted.
    :param listener: told of new tables and loans.
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
            asks.LoanRequest: self._on_loan_request,
            lents.LoanResponse: self._on_loan_response,
        }

    @property
    def sender(self) -> envelope.Sender:
        """Return this daemon as its messages name it."""
        settings = self.state.settings
        return envelope.Sender(
            settings.name,
            settings.datacentre,
            self.state.authority.incarnation,
            settings.address,
        )

    def tick(self) -> _Out:
        """Do what is due; to be called every ``timing.tick`` ms."""
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
        """Return the asks for loans that are due.

        :param now: monotonic time in ms.
        """
        state = self.state
        out = []
        for asked in state.loan_manager.due_requests(
            state.membership.alive(), now
        ):
            if asked.lender == state.settings.name:
                self._lend_to_self(asked.request, now)
                continue
            keeper = state.membership.member_by_name[asked.lender]
            out.append(outgoing.Outgoing(keeper.address, asked.request))
        return out

    def handle(self, received: codec.Received) -> _Out:
        """Take in a message; return what is to be answered.

        :param received: decoded, with its sender.
        """
        state, now = self.state, self.state.clock.now()
        sender = received.sender
        if sender.name == state.settings.name:
            return []
        near = sender.datacentre == state.settings.datacentre
        state.authority.has_met_peer = True
        if near and type(received.message) is not notices.DeathNotice:
            if state.membership.is_dead(sender.name, sender.incarnation):
                return self._replier.death_notice(sender)
            self._add_sender(sender, now)
        handler = self._handler_by_type[type(received.message)]
        out = handler(sender, received.message, now)
        self._check_incarnation(now)
        state.record_view(now)
        return out

    def publish_table(self, delta: tabledelta.TableDelta) -> bool:
        """Take a version that a watcher read; tell whether it is newer.

        :param delta: from the platform.
        """
        return self._sync.publish(delta)

    def reconcile_table(self, whole: tabledelta.TableDelta) -> None:
        """Replace the rows held where they differ from the platform's.

        :param whole: the whole table, read from the platform.
        """
        self._sync.reconcile(whole)

    def publish_load(self, report: load.LoadReport) -> None:
        """Take in a load that this daemon measured.

        :param report: of an upstream that it keeps.
        """
        self.state.loads.record(report)
        self._listener.on_load(report)

    def confirmation(self, version: int) -> confirmations.Confirmation:
        """Return who has confirmed a version of the table.

        :param version: the version, or a later one.
        """
        state = self.state
        living = [
            state.membership.member_by_name[name]
            for name in sorted(state.membership.alive())
        ]
        silent = [m.name for m in living if m.version < version]
        members_ = len(living)
        for summary in state.remote.summaries(state.clock.now()):
            members_ += summary.members
            if summary.version < version:
                behind = ", ".join(summary.behind) or "some members"
                silent.append(f"{summary.datacentre}: {behind}")
        return confirmations.Confirmation(version, members_, tuple(silent))

    def leave(self) -> _Out:
        """Say goodbye, so that nobody waits for this daemon to die."""
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
        near = sender.datacentre == state.settings.datacentre
        if near:
            self._merge_members(message, now)
        self._sync.check_peer_table(message, now)
        for summary in message.summaries:
            state.remote.apply(summary, now)
            if summary.datacentre == state.settings.datacentre:
                self.schedule.set_extra_seeds(
                    [c.address for c in summary.contacts]
                )
        for rumor in message.loads:
            far = rumor.coordinator not in state.membership.member_by_name
            if state.loads.apply(rumor, now, far):
                self._listener.on_load(state.loads.report(rumor.upstream))
        for fact in message.crashes:
            state.crashes.record(fact, now)
        if message.page is not None:
            self._sync.apply_page(message.page)
        out = self._sync.request(sender, message.table_version)
        return out + self._replier.reply(sender, message, near)

    def _merge_members(self, message: gossips.Gossip, now: clock.Ms) -> None:
        state = self.state
        own = state.settings.name
        for record in message.members:
            if record.name == own:
                self._check_own_record(record)
            elif record.datacentre == state.settings.datacentre:
                state.membership.merge(record, now)
        for beat in message.heartbeats:
            if beat.name != own:
                state.membership.apply_heartbeat(beat, now)
        if message.known_incarnation > state.authority.incarnation:
            state.authority.mark_dead(message.known_incarnation)
        state.authority.acknowledge(message.known_incarnation)

    def _check_own_record(self, record: members.Member) -> None:
        standing = self.state.authority
        over = record.state in (
            members.MemberState.DEAD,
            members.MemberState.LEFT,
        )
        if over or record.incarnation > standing.incarnation:
            standing.mark_dead(record.incarnation)

    def _on_notice(
        self, sender: envelope.Sender, message: notices.DeathNotice, now: int
    ) -> _Out:
        self.state.authority.mark_dead(message.incarnation)
        return []

    def _on_loan_request(
        self, sender: envelope.Sender, message: asks.LoanRequest, now: clock.Ms
    ) -> _Out:
        answer = self.state.loan_manager.handle_request(
            message, sender.name, sender.incarnation, now
        )
        if answer is None:
            return []
        return [outgoing.Outgoing(sender.address, answer)]

    def _on_loan_response(
        self,
        sender: envelope.Sender,
        message: lents.LoanResponse,
        now: clock.Ms,
    ) -> _Out:
        for loan in self.state.loan_manager.apply_response(
            message, sender.name, now
        ):
            self._listener.on_loan(loan)
        return []

    def _lend_to_self(self, ask: asks.LoanRequest, now: clock.Ms) -> None:
        own = self.sender
        answer = self.state.loan_manager.handle_request(
            ask, own.name, own.incarnation, now
        )
        if answer is not None:
            self._on_loan_response(own, answer, now)

    def _add_sender(self, sender: envelope.Sender, now: clock.Ms) -> None:
        held = self.state.membership.member_by_name.get(sender.name)
        if held is None or sender.incarnation > held.incarnation:
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
        standing = self.state.authority
        if standing.incarnation == self._active_incarnation:
            return
        self._active_incarnation = standing.incarnation
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
