"""The state of one upstream for placement."""

import collections
import enum
from typing import NamedTuple
import zlib

from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import load
from citronvalve.policy import circuit
from citronvalve.policy import datacentrestate
from citronvalve.policy import limits
from citronvalve.policy import outlier
from citronvalve.policy import ramp

#: An upstream gets requests only while its last report is younger than this.
#: After an older one, a group may have lost a VM, or an upstream may have
#: crashed and come back cold, while daemons go on using their warm parts.
#: No engine starts within this time, and reports come every second with a
#: delay of up to three seconds.
MAX_REPORT_AGE: clock.Ms = 5_000

#: Entries in the history of this daemon's own requests.  A late report is
#: compared with the number at the time of the report.
_MAX_HISTORY = 256


class BlockReason(enum.Enum):
    """Why an upstream gets no new requests."""

    UNSEEN = "it has not reported yet"
    OUT = "it is out of service"
    DATACENTRE_OUT = "its data centre is out of service"
    VMS_MISSING = "a VM of its group is missing"
    STALE = "it has not reported lately"
    EJECTED = "it is far slower than the others"
    CIRCUIT = "it failed"


class Loan(NamedTuple):
    """Slots of a cold upstream that are lent to this daemon."""

    slots: int = 0
    expires_at: clock.Ms = 0


class Candidate:
    """The state of one upstream.

    :param upstream: its row, declared or made by its replica group.
    :param datacentre: the state of its data centre.
    :param tier: 0 in this daemon's data centre, 1 in its region, else 2.
    """

    def __init__(
        self,
        upstream: declared.Upstream,
        datacentre: datacentrestate.DatacentreState,
        tier: int,
    ) -> None:
        self.upstream = upstream
        self.datacentre = datacentre
        self.tier = tier
        self.ramp = ramp.Ramp(upstream)
        self.circuit = circuit.Circuit()
        self.latency_ratio = outlier.LatencyRatio()
        self.loan = Loan()
        self.report: load.LoadReport | None = None
        #: This daemon's requests there, and how many it may have there.
        self.own = 0
        self.allowance = 0
        #: Requests there that may have crashed an upstream.
        self.suspects = 0
        #: Whether it has named a request rate, wants no request, or leaves.
        self.is_limited = self.is_resting = self.is_leaving = False
        #: Whether it may get no request now, for one of these.
        self.is_held = False
        #: Whether a report with a new start id is not yet handled.
        self.restart_pending = False
        #: When a connection to it last broke.
        self.connection_broke_at: clock.Ms = 0
        #: When it last died, as known to this daemon.
        self.lost_at: clock.Ms = 0
        self._others = 0
        self._capacity = 0
        self._rank_offset = zlib.crc32(upstream.name.encode())
        self._history = collections.deque([(0, 0)])

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.upstream.name

    @property
    def running(self) -> int:
        """Return the estimated number of requests there, of all daemons."""
        return self._others + self.own

    def update_upstream(self, upstream: declared.Upstream) -> None:
        """Apply a changed row.

        :param upstream: the row.
        """
        self.upstream = upstream
        self.ramp.upstream = upstream

    def observe(self, report: load.LoadReport) -> None:
        """Apply a load report; one older than the last is ignored.

        :param report: the report.
        """
        if (
            self.report is not None
            and report.measured_at < self.report.measured_at
        ):
            return
        old, self.report = self.report, report
        if old is not None and old.start_id != report.start_id:
            self.restart_pending = True
        self.ramp.observe(report)
        own = self._own_at(report.measured_at)
        self._others = max(0, report.running + report.queued - own)
        self._capacity = report.capacity

    def record_start(self, now: clock.Ms) -> None:
        """Count a request sent there.

        :param now: monotonic ms.
        """
        self._record_change(1, now)

    def record_end(self, now: clock.Ms) -> None:
        """Count a request that ended.

        :param now: monotonic ms.
        """
        self._record_change(-1, now)

    def record_loss(self, at: clock.Ms) -> None:
        """Record that it died; its last report is no longer valid.

        :param at: when it died, in monotonic ms.
        """
        self.lost_at = at
        self.ramp.mark_cold(at)

    def record_busy(self) -> None:
        """Record that it rejected a request as full.

        Its capacity is limited to the current requests until the next
        report, but to no less than one: it may have rejected the request
        for another reason, and with none left there would be no upstream to
        use after each has rejected once.
        """
        self._capacity = min(self._capacity, max(1, self.own))

    def block_reason(self, now: clock.Ms) -> BlockReason | None:
        """Return why it gets no new requests, or None.

        :param now: monotonic ms.
        """
        report = self.report
        if report is None:
            return BlockReason.UNSEEN
        reasons = {
            BlockReason.OUT: self.upstream.state is declared.ServiceState.OUT,
            BlockReason.DATACENTRE_OUT: self.datacentre.phase
            is datacentrestate.Phase.OUT,
            BlockReason.VMS_MISSING: bool(report.vms_missing),
            BlockReason.STALE: now - report.measured_at > MAX_REPORT_AGE,
            BlockReason.EJECTED: now < self.latency_ratio.ejected_until,
            BlockReason.CIRCUIT: self.circuit.state is circuit.State.OPEN,
        }
        return next((why for why, holds in reasons.items() if holds), None)

    def refresh(self, now: clock.Ms, share: limits.Share) -> int:
        """Recompute the allowance; return its change.

        :param now: monotonic ms.
        :param share: this daemon's rank among those that use it.
        """
        old, self.allowance = self.allowance, self._allowed(now, share)
        return self.allowance - old

    def has_free_slot(self) -> bool:
        """Return whether one more request may be sent there."""
        return self.own < self.allowance and self.datacentre.has_free_slot()

    def loan_slots(self, now: clock.Ms) -> int:
        """Return the number of slots that are lent now.

        :param now: monotonic ms.
        """
        return self.loan.slots if now < self.loan.expires_at else 0

    def fixed_part(self, share: limits.Share) -> int:
        """Return this daemon's fixed part of a warm upstream.

        Reports are seconds old when many daemons read them; if each filled
        the free slots that it sees, they would be filled many times over.
        The parts of all daemons add up to the slots whatever each of them
        knows.  The remainder goes to different daemons for each upstream.

        :param share: this daemon's rank among those that use it.
        """
        rank = (share.rank + self._rank_offset) % share.members
        part = limits.Share(rank, share.members).of(self.upstream.slots)
        return min(part, self._capacity)

    def _allowed(self, now: clock.Ms, share: limits.Share) -> int:
        if self.upstream.weight <= 0 or self.block_reason(now) is not None:
            return 0
        if self.is_held:
            return 0
        if self.ramp.is_cold(now):
            allowed = min(self.loan_slots(now), self.ramp.bound(now))
        else:
            allowed = self.fixed_part(share)
        if self.is_limited:
            allowed = min(allowed, self.own + 1)
        half_open = self.circuit.state is circuit.State.HALF_OPEN
        return min(1, allowed) if half_open else allowed

    def _record_change(self, step: int, now: clock.Ms) -> None:
        self.own += step
        self._history.append((now, self.own))
        if len(self._history) > _MAX_HISTORY:
            self._history.popleft()

    def _own_at(self, at: clock.Ms) -> int:
        # The last value up to that time stays, since it also applies to the
        # next report when no request started or ended in between.
        history = self._history
        while len(history) > 1 and history[1][0] <= at:
            history.popleft()
        return history[0][1]
