"""The interface of peers to the rest of the daemon."""

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

#: Members of a data centre that read the platform's table.  With a second
#: one, an edit still arrives within seconds when the first is dead.
_WATCHERS = 2


class Peer:
    """This daemon as a peer; owns no socket and starts no task.

    Apart from callbacks of the listener, all methods use memory only and
    return at once.
    :class:`citronvalve.peers.task.PeerTask` connects it to the network.

    :param settings: name, data centre, addresses, timing and keys.
    :param clock_: the clock.
    :param rng: source of randomness.
    :param invariants: checks the invariants.
    :param listener: called with new tables, loans, loads and incarnations.
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
        """Return the alive members of this data centre, with this daemon."""
        membership = self._state.membership
        return tuple(
            membership.member_by_name[name]
            for name in sorted(membership.alive())
        )

    def is_acting(self) -> bool:
        """Return whether this daemon may act for others at this moment.

        Callers check this right before each action, since the process may
        just have been paused.
        """
        return self._state.authority.may_act()

    def coordinator_of(self, key: str) -> str | None:
        """Return the member of this data centre that coordinates a key.

        :param key: the key, such as ``upstream/engine-1``.
        """
        return rendezvous.first(key, self._state.membership.alive())

    def is_coordinator_of(self, key: str) -> bool:
        """Return whether this daemon is the coordinator and may act.

        :param key: the key to coordinate.
        """
        return self.is_acting() and (
            self.coordinator_of(key) == self.settings.name
        )

    def polls(self, upstream: str, datacentre: str) -> bool:
        """Return whether this daemon polls an upstream for its load.

        The members of the upstream's data centre divide this among them; if
        it has none, every other data centre polls.  While the coordinator is
        suspected the next in rank polls too.  Otherwise reports would get
        old, and a healthy upstream would get no requests until the
        coordinator is dead.

        :param upstream: the upstream.
        :param datacentre: the upstream's data centre.
        """
        if not self.is_acting():
            return False
        state = self._state
        own_datacentre = self.settings.datacentre
        if datacentre != own_datacentre and datacentre in state.remote.names():
            return False
        suspects = set(state.membership.suspects())
        ranked = rendezvous.rank(
            f"upstream/{upstream}", state.membership.alive()
        )
        rank = ranked.index(self.settings.name)
        return all(name in suspects for name in ranked[:rank])

    def is_watcher(self) -> bool:
        """Return whether this daemon reads the platform's table."""
        ranked = rendezvous.rank("watcher", self._state.membership.alive())
        return self.is_acting() and self.settings.name in ranked[:_WATCHERS]

    def table_version(self) -> int:
        """Return the version of the table held here."""
        return self._state.table.version

    def table_rows(self) -> list[change.Change]:
        """Return the rows of the table held here."""
        return self._state.table.rows()

    def publish_table(self, delta: tabledelta.TableDelta) -> bool:
        """Spread a version that a watcher read; return whether it is newer.

        :param delta: its base is at most the version held here.
        """
        return self.core.publish_table(delta)

    def is_table_disputed(self) -> bool:
        """Return whether a peer holds other rows at the same version."""
        return self._state.table.is_disputed

    def reconcile_table(self, full: tabledelta.TableDelta) -> None:
        """Replace the rows held if they differ from the platform's.

        :param full: the full table, read from the platform.
        """
        self.core.reconcile_table(full)

    def confirm_table(self, at: clock.Ms) -> None:
        """Record that the platform had nothing newer.

        :param at: monotonic ms at which it was read.
        """
        self._state.table.confirm(at)

    def table_confirmed_at(self) -> clock.Ms | None:
        """Return when the version was last known to be the newest.

        It is monotonic ms, or None if no watcher has confirmed it.
        """
        return self._state.table.confirmed_at

    def member_rank(self) -> share.MemberRank:
        """Return this daemon's rank among all that share the upstreams."""
        state = self._state
        alive = sorted(state.membership.alive())
        remote = {
            s.datacentre: s.members
            for s in state.remote.summaries(0)
            if s.members
        }
        before = sum(
            count
            for name, count in remote.items()
            if name < self.settings.datacentre
        )
        rank = before + alive.index(self.settings.name)
        return share.MemberRank(rank, len(alive) + sum(remote.values()))

    def confirmation(self, version: int) -> confirmation.Confirmation:
        """Return which members have confirmed a version of the table.

        :param version: the version, or a later one.
        """
        return self.core.confirmation(version)

    def publish_load(self, report: loads_.LoadReport) -> None:
        """Spread a load that this daemon measured.

        :param report: of an upstream that it coordinates.
        """
        self.core.publish_load(report)

    def loads(self) -> dict[str, loads_.LoadReport]:
        """Return the newest report by upstream, with times by this clock."""
        return self._state.loads.reports()

    def set_neighbours(self, datacentres: frozenset[str]) -> None:
        """Set the data centres that get loads of this one.

        :param datacentres: those of the same region; empty means all.
        """
        self._state.neighbours = datacentres

    def publish_crash(
        self, fingerprint: str, upstream: str, start_id: str
    ) -> None:
        """Spread that an upstream was lost while it ran a request.

        :param fingerprint: of the request's content.
        :param upstream: the upstream.
        :param start_id: the start of the upstream that was lost.
        """
        report = crashreport.CrashReport(fingerprint, upstream, start_id, 0)
        self._state.crashes.record(report, self._clock.now())

    def crashes(self) -> tuple[crashreport.CrashReport, ...]:
        """Return all recent crashes that any daemon reported."""
        return self._state.crashes.reports(self._clock.now())

    def set_limit(self, key: loankey.LoanKey, limit: int) -> None:
        """Set the total slots of a limit; 0 removes the limit.

        Every daemon sets a team's limit, since it needs it for its own
        share; the coordinator of a cold upstream sets the upstream's limit.

        :param key: the limit.
        :param limit: total slots.
        """
        self._state.loan_manager.lender.set_limit(key, limit)

    def set_default_limit(
        self, limit: Callable[[loankey.LoanKey], int]
    ) -> None:
        """Set what to lend of limits that were not set.

        :param limit: returns the total slots; 0 lends nothing.
        """
        self._state.loan_manager.lender.default_limit = limit

    def request_slots(self, key: loankey.LoanKey, slots: int) -> None:
        """Borrow slots and renew the loan until the request changes.

        :param key: the limit.
        :param slots: maximum slots to borrow; 0 stops.
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
        """Return the current loan, or None.

        :param key: the limit.
        """
        return self._state.loan_manager.loan(key, self._clock.now())

    def lends_for(self, datacentre: str) -> bool:
        """Return whether this data centre lends another's cold upstreams.

        Each data centre has a coordinator of its own, so only the upstream's
        data centre lends.  If it has no daemon, one of the others does.

        :param datacentre: the upstream's data centre.
        """
        own = self.settings.datacentre
        others = self._state.remote.names()
        if datacentre in (own, *others):
            return datacentre == own
        return rendezvous.first(f"home/{datacentre}", (own, *others)) == own

    def set_extra_seeds(self, addresses: list[str]) -> None:
        """Set addresses to probe, from the platform's list of VMs.

        :param addresses: hints only, since the list may be out of date.
        """
        self.core.schedule.set_extra_seeds(addresses)

    def forget(self, name: str) -> None:
        """Stop counting a dead member, since its VM was removed.

        :param name: the member.
        """
        self._state.membership.forget(name)

    def status(self) -> statuses.PeerStatus:
        """Return this daemon's view of its peers."""
        state = self._state
        membership = state.membership
        remote = tuple(
            statuses.DatacentreStatus(
                s.datacentre, s.age, s.members, s.version
            )
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
            remote,
            state.table.version,
            f"{state.table.digest:016x}",
            self.confirmation(state.table.version).silent,
            state.table.pages_refused,
            len(state.loads.reports()),
            dict(self.codec.dropped_by_reason),
        )
