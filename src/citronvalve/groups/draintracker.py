"""Which closed groups still have requests in progress."""

from citronvalve.groups import engineload
from citronvalve.groups import engines
from citronvalve.groups import observation
from citronvalve.groups import phase
from citronvalve.groups import record
from citronvalve.groups import rowcache
from citronvalve.groups import timing
from citronvalve.groups import vmstatus
from citronvalve.model import clock

_WAITING = {phase.Phase.CLOSED, phase.Phase.DISSOLVING}


class DrainTracker:
    """Times how long groups are closed, and asks whether they are idle.

    :param spans: the limits.
    """

    def __init__(self, spans: timing.Timing) -> None:
        self._spans = spans
        self._closed_at: dict[tuple[str, str], clock.Ms] = {}

    def drained(
        self,
        known: rowcache.RowCache,
        sighting_by_vm: dict[str, vmstatus.VmStatus],
        asked: engines.Engines,
        now: clock.Ms,
    ) -> frozenset[str]:
        """Return the closed groups that have nothing in progress.

        :param known: the rows.
        :param sighting_by_vm: the last sightings.
        :param asked: the engines.
        :param now: monotonic time in ms.
        """
        closed = {
            (each.name, each.attempt): each
            for each in known.record_by_group.values()
            if each.phase in _WAITING
        }
        self._closed_at = {
            key: self._closed_at.get(key, now) for key in closed
        }
        return frozenset(
            each.name
            for key, each in closed.items()
            if self._is_drained(
                each, sighting_by_vm, asked, now - self._closed_at[key]
            )
            or observation.lost_vms(each, sighting_by_vm, now, self._spans)
        )

    def _is_drained(
        self,
        known: record.GroupRecord,
        sighting_by_vm: dict[str, vmstatus.VmStatus],
        asked: engines.Engines,
        closed_for: clock.Ms,
    ) -> bool:
        # Other daemons go on sending until the state they hold is stale:
        # only then does an idle engine stay idle.
        if closed_for < self._spans.fresh:
            return False
        if closed_for >= self._spans.drain:
            return True
        load = asked.load(known.members[0].address)
        if not isinstance(load, engineload.EngineLoad):
            return False
        return load.running + load.queued == 0
