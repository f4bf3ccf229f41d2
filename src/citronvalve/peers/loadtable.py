"""The newest load of every upstream."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import load
from citronvalve.peers import loadupdate
from citronvalve.peers import updatequeue

#: Transmissions of a load; the next one replaces one that is lost.
_TRANSMISSIONS = 3

#: Transmissions of a start or a missing VM.  A daemon that misses it goes on
#: sending full load to a cold upstream, or requests to a closed group.
_URGENT_TRANSMISSIONS = 6

#: A change of less than this share of the upstream's capacity is not sent
#: before the refresh.  Sending the loads of 400 upstreams in a data centre
#: every second would take more than 19 KB/s.
_SIGNIFICANT_SHARE = 0.125

#: Reports older than this are dropped, since they would mislead.
_MAX_AGE: clock.Ms = 60 * clock.SECOND

#: Updates queued; more than the upstreams of the largest fleet.
_MAX_QUEUED = 16_384


class _Entry(NamedTuple):
    """A report with its coordinator and serial."""

    report: load.LoadReport
    coordinator: str
    serial: int


class LoadTable:
    """The newest report of each upstream, and the reports to send.

    :param own: this daemon's name.
    :param refresh: ms after which an unchanged load is sent again.
    :ivar updates: upstreams of this data centre whose reports to send.
    :ivar remote_updates: those of other data centres.
    """

    def __init__(self, own: str, refresh: clock.Ms) -> None:
        self._own = own
        self._refresh = refresh
        self._serial = 0
        self._entry_by_upstream: dict[str, _Entry] = {}
        self._sent_by_upstream: dict[str, load.LoadReport] = {}
        self._own_upstreams: dict[str, None] = {}
        self.updates = updatequeue.UpdateQueue(max_keys=_MAX_QUEUED)
        self.remote_updates = updatequeue.UpdateQueue(max_keys=_MAX_QUEUED)

    def reports(self) -> dict[str, load.LoadReport]:
        """Return the newest report by upstream."""
        return {
            name: current.report
            for name, current in self._entry_by_upstream.items()
        }

    def report(self, name: str) -> load.LoadReport | None:
        """Return the newest report of an upstream, or ``None``.

        :param name: the upstream.
        """
        current = self._entry_by_upstream.get(name)
        return current.report if current is not None else None

    def own_upstreams(self) -> list[str]:
        """Return the upstreams whose newest report was measured here."""
        return list(self._own_upstreams)

    def record(self, report: load.LoadReport) -> None:
        """Record a measurement of this daemon.

        :param report: of an upstream that this daemon coordinates.
        """
        self._serial += 1
        name = report.upstream
        previous = self._entry_by_upstream.get(name)
        self._entry_by_upstream[name] = _Entry(report, self._own, self._serial)
        sent = self._sent_by_upstream.get(name)
        self._own_upstreams[name] = None
        urgent = _is_urgent(previous.report if previous else None, report)
        if urgent or sent is None or self._is_significant(sent, report):
            self._sent_by_upstream[name] = report
            transmissions = _URGENT_TRANSMISSIONS if urgent else _TRANSMISSIONS
            self.updates.put(name, transmissions, urgent)

    def apply(
        self,
        update: loadupdate.LoadUpdate,
        now: clock.Ms,
        is_remote: bool = False,
    ) -> bool:
        """Apply a report from a peer; return whether it is newer.

        :param update: the report with its age.
        :param now: monotonic time in ms.
        :param is_remote: whether its coordinator is in another data centre.
            Such reports have a queue of their own, so that they don't
            displace local ones.
        """
        queue = self.remote_updates if is_remote else self.updates
        seen_at = now - max(0, update.age)
        current = self._entry_by_upstream.get(update.upstream)
        if current is not None and not _is_newer(current, update, seen_at):
            if (current.coordinator, current.serial) == (
                update.coordinator,
                update.serial,
            ):
                queue.record_duplicate(update.upstream)
            return False
        report = load.LoadReport(
            update.upstream,
            update.start_id,
            update.running,
            update.queued,
            update.capacity,
            seen_at,
            update.vms_missing,
        )
        urgent = _is_urgent(current.report if current else None, report)
        self._entry_by_upstream[update.upstream] = _Entry(
            report, update.coordinator, update.serial
        )
        self._own_upstreams.pop(update.upstream, None)
        transmissions = _URGENT_TRANSMISSIONS if urgent else _TRANSMISSIONS
        queue.put(update.upstream, transmissions, urgent)
        return True

    def measured_by(self, coordinators: frozenset[str]) -> list[str]:
        """Return the upstreams whose newest report some members measured.

        :param coordinators: names of members.
        """
        return [
            name
            for name, current in self._entry_by_upstream.items()
            if current.coordinator in coordinators
        ]

    def update_for(
        self, name: str, now: clock.Ms
    ) -> loadupdate.LoadUpdate | None:
        """Return a report with its current age, or ``None``.

        :param name: the upstream.
        :param now: monotonic time in ms.
        """
        current = self._entry_by_upstream.get(name)
        if current is None:
            return None
        report = current.report
        return loadupdate.LoadUpdate(
            name,
            current.coordinator,
            current.serial,
            report.start_id,
            report.running,
            report.queued,
            report.capacity,
            max(0, now - report.measured_at),
            report.vms_missing,
        )

    def prune(self, now: clock.Ms) -> None:
        """Drop reports that are too old to use.

        :param now: monotonic time in ms.
        """
        for name, current in list(self._entry_by_upstream.items()):
            if now - current.report.measured_at > _MAX_AGE:
                del self._entry_by_upstream[name]
                self._sent_by_upstream.pop(name, None)
                self._own_upstreams.pop(name, None)

    def _is_significant(
        self, sent: load.LoadReport, new: load.LoadReport
    ) -> bool:
        if new.measured_at - sent.measured_at >= self._refresh:
            return True
        step = max(1, int(new.capacity * _SIGNIFICANT_SHARE))
        change = abs(new.running - sent.running) + abs(
            new.queued - sent.queued
        )
        return change > step or abs(new.capacity - sent.capacity) >= step


def _is_urgent(previous: load.LoadReport | None, new: load.LoadReport) -> bool:
    if previous is None:
        return False
    return (previous.start_id, previous.vms_missing) != (
        new.start_id,
        new.vms_missing,
    )


def _is_newer(
    current: _Entry, update: loadupdate.LoadUpdate, seen_at: clock.Ms
) -> bool:
    # Ages include the delays of their paths, so two copies of a measurement
    # seem to have different times.  Measurements of one coordinator are
    # ordered by serial, those of different coordinators by time.
    if (
        current.coordinator == update.coordinator
        and update.serial <= current.serial
    ):
        # The serial of a restarted coordinator starts again at one.
        return seen_at > current.report.measured_at + 10 * clock.SECOND
    return (
        seen_at > current.report.measured_at
        or current.coordinator == update.coordinator
    )
