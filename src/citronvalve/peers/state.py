"""All that one daemon knows of its peers, in one place."""

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
    """Holds the parts together; each part keeps its own rules.

    :param settings: this daemon among its peers.
    :param clock_: the clock.
    :param rng: chance.
    :param invariants: where promises are asserted.
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
        first = not set(settings.seeds) - {settings.address}
        self.authority = authority.Authority(
            clock_, timing, invariants, first or settings.expected_daemons == 1
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
            first=first,
            expected=settings.expected_daemons,
        )
        # Which data centres take loads of this one; empty means all, as in
        # a fleet of one region.
        self.neighbours: frozenset[str] = frozenset()
        self._heartbeat_counter = 0

    def is_neighbour(self, datacentre: str) -> bool:
        """Tell whether a data centre wants loads of this one.

        :param datacentre: its name.
        """
        return not self.neighbours or datacentre in self.neighbours

    def others(self) -> frozenset[str]:
        """Return the other living members of this data centre."""
        return self.membership.alive() - {self.settings.name}

    def advance_heartbeat(self, now: clock.Ms) -> None:
        """Let the own heartbeat rise, or a new life begin.

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
        """Tell the grants how the members look.

        :param now: monotonic time in ms.
        """
        self.loan_manager.record_view(
            now, self.membership.alive(), self.membership.known()
        )
