"""The reports of own requests that a coordinator's sum may include."""

from typing import NamedTuple

from citronvalve.peers import loadsums
from citronvalve.peers import messages
from citronvalve.policy import loaddetails

#: Number of reports kept.  A sum includes a report of the last second, and a
#: daemon makes at most 20 a second.
_KEPT_REPORTS = 24


class _Own(NamedTuple):
    counts: messages.RequestCounts
    details: loaddetails.LoadDetails


class OwnReports:
    """Numbers the reports of a daemon and subtracts them from sums.

    A coordinator sends one sum to all daemons of its data centre, so that it
    adds up and encodes it once.

    :param name: this daemon.
    :ivar sequence: number of the last report.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._own_by_sequence: dict[int, _Own] = {}
        self.sequence = 0

    def record(
        self,
        counts: messages.RequestCounts,
        details: loaddetails.LoadDetails = loaddetails.NONE,
    ) -> None:
        """Record a report.

        :param counts: the requests that it states.
        :param details: of these requests.
        """
        self.sequence += 1
        self._own_by_sequence[self.sequence] = _Own(counts, details)
        self._own_by_sequence.pop(self.sequence - _KEPT_REPORTS, None)

    def without_own(
        self, loads: messages.OtherLoads
    ) -> loadsums.LoadSum | None:
        """Return the daemons and requests of a sum without this daemon.

        :param loads: a coordinator's sum.
        :returns: None if it includes a report that is no longer known, such
            as one of an earlier start.
        """
        sequence = (loads.sequence_by_daemon or {}).get(self._name)
        if sequence is None:
            return loadsums.LoadSum(
                loads.daemons, loads.by_upstream, loads.details
            )
        own = self._own_by_sequence.get(sequence)
        if own is None:
            return None
        counts = dict(loads.by_upstream)
        for upstream, (count, late) in own.counts.items():
            total = counts.get(upstream, (0, 0))
            counts[upstream] = total[0] - count, total[1] - late
        return loadsums.LoadSum(
            loads.daemons - 1,
            counts,
            loaddetails.difference(loads.details, own.details),
        )
