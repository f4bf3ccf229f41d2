"""The state that a daemon keeps about its peers."""

import random

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.peers import authority
from citronvalve.peers import crashtable
from citronvalve.peers import loadtable
from citronvalve.peers import loanmanager
from citronvalve.peers import member
from citronvalve.peers import membership
from citronvalve.peers import peersettings
from citronvalve.peers import remote
from citronvalve.peers import tablecopy


class State:
    """Groups the parts of the state.

    :param settings: this daemon's settings.
    :param clock_: the clock.
    :param rng: source of randomness.
    :param invariants: checks the invariants.
    :ivar neighbours: data centres that get loads of this one; empty means
        all, as in a fleet of one region.
    """

    def __init__(
        self,
        settings: peersettings.PeerSettings,
        clock_: clock.Clock,
        rng: random.Random,
        invariants: invariant.Invariants,
    ) -> None:
        timing = settings.timing
        self.settings = settings
        self.clock = clock_
        self.rng = rng
        self.invariants = invariants
        is_first = not set(settings.seeds) - {settings.address}
        self.authority = authority.Authority(
            clock_,
            timing,
            invariants,
            is_first or settings.expected_daemons == 1,
        )
        self.membership = membership.Membership(timing, invariants)
        self.remote = remote.RemoteDatacentres(settings.datacentre)
        self.table = tablecopy.TableCopy(invariants)
        self.loads = loadtable.LoadTable(
            settings.name, timing.refresh_interval
        )
        self.crashes = crashtable.CrashTable()
        self.loan_manager = loanmanager.LoanManager(
            settings.name,
            timing,
            self.authority,
            invariants,
            is_first=is_first,
            expected_daemons=settings.expected_daemons,
        )
        self.neighbours: frozenset[str] = frozenset()
        self._heartbeat_counter = 0

    def is_neighbour(self, datacentre: str) -> bool:
        """Return whether a data centre gets loads of this one.

        :param datacentre: its name.
        """
        return not self.neighbours or datacentre in self.neighbours

    def others(self) -> frozenset[str]:
        """Return the names of the other alive members of this data centre."""
        return self.membership.alive() - {self.settings.name}

    def advance_heartbeat(self, now: clock.Ms) -> None:
        """Raise the own heartbeat counter, or record a new incarnation.

        :param now: monotonic time in ms.
        """
        self._heartbeat_counter += 1
        settings = self.settings
        record = member.Member(
            settings.name,
            settings.datacentre,
            settings.address,
            self.authority.incarnation,
            self._heartbeat_counter,
            self.table.version,
        )
        self.membership.merge(record, now)

    def record_view(self, now: clock.Ms) -> None:
        """Pass the current members to the loan manager.

        :param now: monotonic time in ms.
        """
        self.loan_manager.record_view(
            now, self.membership.alive(), self.membership.known()
        )
