"""What is known of every upstream's load, own and heard."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import load
from citronvalve.peers import loadupdate
from citronvalve.peers import updatequeue

#: Tellings of a load; a missed one is made good by the next.
_TRANSMISSIONS = 3

#: Tellings of a start or a missing VM: a daemon that misses one goes on
#: sending full load to a cold upstream, or work to a closed group.
_URGENT_TRANSMISSIONS = 6

#: Loads that differ by less than this share of what the upstream bears are
#: not told again before the refresh.  It is made for 400 upstreams in one
#: data centre: telling all of them each second takes more than 19 KB/s.
_SIGNIFICANT_SHARE = 0.125

#: A report of this age or older is worth less than none.
_MAX_AGE: clock.Ms = 60 * clock.SECOND


#: Upstreams of the whole target, and some.
_MAX_QUEUED = 16_384


class _Held(NamedTuple):
    """A report with its keeper and serial."""

    report: load.LoadReport
    coordinator: str
    serial: int


class LoadTable:
    """The newest report of each upstream, with what is still to be told.

    :param own: this daemon's name, as a keeper.
    :param refresh: ms after which an unchanged load is told again.
    """

    def __init__(self, own: str, refresh: clock.Ms) -> None:
        self._own = own
        self._refresh = refresh
        self._serial = 0
        self._held_by_upstream: dict[str, _Held] = {}
        self._sent_by_upstream: dict[str, load.LoadReport] = {}
        self._own_upstreams: dict[str, None] = {}
        self.updates = updatequeue.UpdateQueue(max_keys=_MAX_QUEUED)
        self.remote_updates = updatequeue.UpdateQueue(max_keys=_MAX_QUEUED)

    def reports(self) -> dict[str, load.LoadReport]:
        """Return the newest report by upstream."""
        return {
            name: held.report for name, held in self._held_by_upstream.items()
        }

    def report(self, name: str) -> load.LoadReport | None:
        """Return the newest report of an upstream, or ``None``.

        :param name: the upstream.
        """
        held = self._held_by_upstream.get(name)
        return held.report if held is not None else None

    def own_upstreams(self) -> list[str]:
        """Return the upstreams whose newest report was measured here."""
        return list(self._own_upstreams)

    def record(self, report: load.LoadReport) -> None:
        """Take in an own measurement.

        :param report: of an upstream that this daemon keeps.
        """
        self._serial += 1
        name = report.upstream
        before = self._held_by_upstream.get(name)
        self._held_by_upstream[name] = _Held(report, self._own, self._serial)
        told = self._sent_by_upstream.get(name)
        self._own_upstreams[name] = None
        urgent = _is_urgent(before.report if before else None, report)
        if urgent or told is None or self._is_significant(told, report):
            self._sent_by_upstream[name] = report
            times = _URGENT_TRANSMISSIONS if urgent else _TRANSMISSIONS
            self.updates.put(name, times, urgent)

    def apply(
        self,
        rumor: loadupdate.LoadUpdate,
        now: clock.Ms,
        is_remote: bool = False,
    ) -> bool:
        """Take in a report told by a peer; tell whether it was newer.

        :param rumor: with its age.
        :param now: monotonic time in ms.
        :param far: whether its keeper is in another data centre.  Such
            reports queue apart, so that they never crowd out near ones.
        """
        queue = self.remote_updates if is_remote else self.updates
        seen_at = now - max(0, rumor.age)
        held = self._held_by_upstream.get(rumor.upstream)
        if held is not None and not _is_newer(held, rumor, seen_at):
            if (held.coordinator, held.serial) == (
                rumor.coordinator,
                rumor.serial,
            ):
                queue.record_duplicate(rumor.upstream)
            return False
        report = load.LoadReport(
            rumor.upstream,
            rumor.start_id,
            rumor.running,
            rumor.queued,
            rumor.capacity,
            seen_at,
            rumor.vms_missing,
        )
        urgent = _is_urgent(held.report if held else None, report)
        self._held_by_upstream[rumor.upstream] = _Held(
            report, rumor.coordinator, rumor.serial
        )
        self._own_upstreams.pop(rumor.upstream, None)
        times = _URGENT_TRANSMISSIONS if urgent else _TRANSMISSIONS
        queue.put(rumor.upstream, times, urgent)
        return True

    def measured_by(self, keepers: frozenset[str]) -> list[str]:
        """Return the upstreams whose newest report came from some keepers.

        :param keepers: names of members.
        """
        return [
            name
            for name, held in self._held_by_upstream.items()
            if held.coordinator in keepers
        ]

    def update_for(
        self, name: str, now: clock.Ms
    ) -> loadupdate.LoadUpdate | None:
        """Return a report in the form in which it travels.

        :param name: the upstream.
        :param now: monotonic time in ms.
        """
        held = self._held_by_upstream.get(name)
        if held is None:
            return None
        report = held.report
        return loadupdate.LoadUpdate(
            name,
            held.coordinator,
            held.serial,
            report.start_id,
            report.running,
            report.queued,
            report.capacity,
            max(0, now - report.measured_at),
            report.vms_missing,
        )

    def prune(self, now: clock.Ms) -> None:
        """Drop reports that are too old to act on.

        :param now: monotonic time in ms.
        """
        for name, held in list(self._held_by_upstream.items()):
            if now - held.report.measured_at > _MAX_AGE:
                del self._held_by_upstream[name]
                self._sent_by_upstream.pop(name, None)
                self._own_upstreams.pop(name, None)

    def _is_significant(
        self, told: load.LoadReport, new: load.LoadReport
    ) -> bool:
        if new.measured_at - told.measured_at >= self._refresh:
            return True
        step = max(1, int(new.capacity * _SIGNIFICANT_SHARE))
        moved = abs(new.running - told.running) + abs(new.queued - told.queued)
        return moved > step or abs(new.capacity - told.capacity) >= step


def _is_urgent(before: load.LoadReport | None, new: load.LoadReport) -> bool:
    if before is None:
        return False
    return (before.start_id, before.vms_missing) != (
        new.start_id,
        new.vms_missing,
    )


def _is_newer(
    held: _Held, rumor: loadupdate.LoadUpdate, seen_at: clock.Ms
) -> bool:
    # Ages add up the delays of the way, so two copies of one measurement
    # seem to be seen at different times.  The keeper's own serial orders its
    # measurements; between two keepers only the ages are left.
    if held.coordinator == rumor.coordinator and rumor.serial <= held.serial:
        # A restarted keeper counts from one again.
        return seen_at > held.report.measured_at + 10 * clock.SECOND
    return (
        seen_at > held.report.measured_at or held.coordinator == rumor.coordinator
    )
