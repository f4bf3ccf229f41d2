"""What the rest of the daemon sees of its peers."""

from collections.abc import Callable
import random

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import load as loads_
from citronvalve.peers import change
from citronvalve.peers import codec as codecs
from citronvalve.peers import confirmation
from citronvalve.peers import core as cores
from citronvalve.peers import crashreport
from citronvalve.peers import listener as listeners
from citronvalve.peers import loan
from citronvalve.peers import loankey
from citronvalve.peers import member
from citronvalve.peers import peersettings
from citronvalve.peers import rendezvous
from citronvalve.peers import share
from citronvalve.peers import status as statuses
from citronvalve.peers import tabledelta

#: Members of a data centre that read the platform's table: a second one, so
#: that an edit still arrives within seconds when the first is dead.
_WATCHERS = 2


class Peer:
    """One daemon among its peers; owns no socket and starts nothing.

    Everything but the listener's calls is answered from memory at once.
    :class:`citronvalve.peers.task.PeerTask` connects it to the network.

    :param settings: name, data centre, addresses, spans and keys.
    :param clock_: the clock.
    :param rng: chance.
    :param invariants: where promises are asserted.
    :param listener: told of new tables, loans and lives.
    """

    def __init__(
        self,
        settings: peersettings.PeerSettings,
        clock_: clock.Clock,
        rng: random.Random,
        invariants: invariant.Invariants,
        listener: listeners.Listener | None = None,
    ) -> None:
        self.settings = settings
        self.codec = codecs.Codec()
        self.core = cores.Core(
            settings,
            clock_,
            rng,
            invariants,
            listener or listeners.Listener(),
        )
        self._clock = clock_
        self._state = self.core.state

    def members(self) -> tuple[member.Member, ...]:
        """Return the living members of this data centre, itself too."""
        membership = self._state.membership
        return tuple(
            membership.member_by_name[name]
            for name in sorted(membership.alive())
        )

    def is_acting(self) -> bool:
        """Tell whether this daemon may act for others at this moment.

        To be asked right before each act, since the process may just have
        been stopped for a while.
        """
        return self._state.authority.may_act()

    def coordinator_of(self, key: str) -> str | None:
        """Return the member of this data centre that keeps something.

        :param key: what is kept, such as ``upstream/engine-1``.
        """
        return rendezvous.first(key, self._state.membership.alive())

    def is_coordinator_of(self, key: str) -> bool:
        """Tell whether this daemon is the keeper, and may act.

        :param key: what is kept.
        """
        return self.is_acting() and (
            self.coordinator_of(key) == self.settings.name
        )

    def polls(self, upstream: str, datacentre: str) -> bool:
        """Tell whether this daemon asks an upstream for its load.

        The members of its data centre share that out; where no daemon is,
        every other data centre looks for itself.  While the keeper is
        silent the next in rank asks too: reports would otherwise grow old
        and a healthy upstream get no work until the keeper's death.

        :param upstream: the upstream.
        :param datacentre: where it stands.
        """
        if not self.is_acting():
            return False
        state = self._state
        home = self.settings.datacentre
        if datacentre != home and datacentre in state.remote.names():
            return False
        suspects = set(state.membership.suspects())
        ranked = rendezvous.rank(
            f"upstream/{upstream}", state.membership.alive()
        )
        own = ranked.index(self.settings.name)
        return all(name in suspects for name in ranked[:own])

    def is_watcher(self) -> bool:
        """Tell whether this daemon reads the platform's table."""
        ranked = rendezvous.rank("watcher", self._state.membership.alive())
        return self.is_acting() and self.settings.name in ranked[:_WATCHERS]

    def table_version(self) -> int:
        """Return the version of the table that is in force here."""
        return self._state.table.version

    def table_rows(self) -> list[change.Change]:
        """Return the rows of the table as they are in force here."""
        return self._state.table.rows()

    def publish_table(self, delta: tabledelta.TableDelta) -> bool:
        """Spread a version that a watcher read; tell whether it is newer.

        :param delta: from any version up to the one held here.
        """
        return self.core.publish_table(delta)

    def is_table_disputed(self) -> bool:
        """Tell whether a peer holds other rows at the same version."""
        return self._state.table.is_disputed

    def reconcile_table(self, whole: tabledelta.TableDelta) -> None:
        """Replace the rows held where they differ from the platform's.

        :param whole: the whole table, read from the platform.
        """
        self.core.reconcile_table(whole)

    def confirm_table(self, at: clock.Ms) -> None:
        """Note that the platform had nothing newer.

        :param at: monotonic ms at which it was asked.
        """
        self._state.table.confirm(at)

    def table_confirmed_at(self) -> clock.Ms | None:
        """Return when the version was last known to be the newest.

        It is monotonic ms, or None when no watcher ever said so.
        """
        return self._state.table.confirmed_at

    def place(self) -> share.Place:
        """Return this daemon's place among all that share the upstreams."""
        state = self._state
        mates = sorted(state.membership.alive())
        far = {
            s.datacentre: s.members
            for s in state.remote.summaries(0)
            if s.members
        }
        before = sum(
            count
            for name, count in far.items()
            if name < self.settings.datacentre
        )
        rank = before + mates.index(self.settings.name)
        return share.Place(rank, len(mates) + sum(far.values()))

    def confirmation(self, version: int) -> confirmation.Confirmation:
        """Return who has confirmed a version of the table.

        :param version: the version, or a later one.
        """
        return self.core.confirmation(version)

    def publish_load(self, report: loads_.LoadReport) -> None:
        """Spread a load that this daemon measured.

        :param report: of an upstream that it keeps.
        """
        self.core.publish_load(report)

    def loads(self) -> dict[str, loads_.LoadReport]:
        """Return the newest report of each upstream, in own time."""
        return self._state.loads.reports()

    def set_neighbours(self, datacentres: frozenset[str]) -> None:
        """Say which data centres take loads of this one.

        :param datacentres: those of the same region; empty means all.
        """
        self._state.neighbours = datacentres

    def publish_crash(
        self, fingerprint: str, upstream: str, start_id: str
    ) -> None:
        """Spread that an upstream was lost while it ran a request.

        :param fingerprint: of the request's content.
        :param upstream: the upstream.
        :param start_id: which of its starts was lost.
        """
        fact = crashreport.CrashReport(fingerprint, upstream, start_id, 0)
        self._state.crashes.record(fact, self._clock.now())

    def crashes(self) -> tuple[crashreport.CrashReport, ...]:
        """Return every crash that any daemon told of lately."""
        return self._state.crashes.reports(self._clock.now())

    def set_limit(self, key: loankey.LoanKey, limit: int) -> None:
        """Say how many slots there are in all; 0 ends the limit.

        A team's limit is set by every daemon, which needs it for its own
        share; that of a cold upstream by the upstream's keeper.

        :param key: the limit.
        :param limit: slots.
        """
        self._state.loan_manager.lender.set_limit(key, limit)

    def set_default_limit(
        self, limit: Callable[[loankey.LoanKey], int]
    ) -> None:
        """Say how much to lend where this daemon sets no limit by itself.

        :param limit: returns the slots in all; 0 lends nothing.
        """
        self._state.loan_manager.lender.default_limit = limit

    def request_slots(self, key: loankey.LoanKey, slots: int) -> None:
        """Borrow up to some slots, and renew until told otherwise.

        :param key: the limit.
        :param slots: slots wanted; 0 stops.
        """
        self._state.loan_manager.borrower.request_slots(key, slots)

    def usable_slots(self, key: loankey.LoanKey) -> int:
        """Return how many slots may be in use at this moment.

        :param key: the limit.
        """
        return self._state.loan_manager.usable_slots(
            key, self._state.membership.known(), self._clock.now()
        )

    def loan(self, key: loankey.LoanKey) -> loan.Loan | None:
        """Return the loan in force, or None.

        :param key: the limit.
        """
        return self._state.loan_manager.loan(key, self._clock.now())

    def lends_for(self, datacentre: str) -> bool:
        """Tell whether cold upstreams of a data centre are lent from here.

        Keepers are members of the upstream's own data centre, or there
        would be one keeper in each.  Where no daemon is, one of the others
        stands in.

        :param datacentre: where an upstream stands.
        """
        home = self.settings.datacentre
        others = self._state.remote.names()
        if datacentre in (home, *others):
            return datacentre == home
        return rendezvous.first(f"home/{datacentre}", (home, *others)) == home

    def set_extra_seeds(self, addresses: list[str]) -> None:
        """Take addresses of daemons from the platform's lagging list.

        :param addresses: where to knock; they prove nothing.
        """
        self.core.schedule.set_extra_seeds(addresses)

    def forget(self, name: str) -> None:
        """Stop counting a dead member, since its VM is gone for good.

        :param name: the member.
        """
        self._state.membership.forget(name)

    def status(self) -> statuses.PeerStatus:
        """Return how this daemon sees itself among its peers."""
        state = self._state
        membership = state.membership
        far = tuple(
            statuses.FarStatus(s.datacentre, s.age, s.members, s.version)
            for s in state.remote.summaries(self._clock.now())
        )
        return statuses.PeerStatus(
            self.settings.name,
            self.settings.datacentre,
            state.authority.incarnation,
            self.is_acting(),
            self.is_watcher(),
            state.authority.rejoins,
            tuple(sorted(membership.alive())),
            tuple(sorted(membership.suspects())),
            tuple(sorted(m.name for m in membership.dead())),
            far,
            state.table.version,
            f"{state.table.digest:016x}",
            self.confirmation(state.table.version).silent,
            state.table.pages_refused,
            len(state.loads.reports()),
            dict(self.codec.dropped_by_reason),
        )
