"""Tracks which closed groups still have requests in progress."""

from citronvalve.groups import engineload
from citronvalve.groups import engines
from citronvalve.groups import observation
from citronvalve.groups import phase
from citronvalve.groups import record
from citronvalve.groups import rowcache
from citronvalve.groups import timing
from citronvalve.groups import vmstatus
from citronvalve.model import clock

_DRAINING_PHASES = {phase.Phase.CLOSED, phase.Phase.DISSOLVING}


class DrainTracker:
    """Tracks how long groups have been closed and whether they are idle.

    :param timings: timeouts and intervals.
    """

    def __init__(self, timings: timing.Timing) -> None:
        self._timings = timings
        self._closed_at_by_attempt: dict[tuple[str, str], clock.Ms] = {}

    def drained_groups(
        self,
        cache: rowcache.RowCache,
        status_by_vm: dict[str, vmstatus.VmStatus],
        engine_client: engines.Engines,
        now: clock.Ms,
    ) -> frozenset[str]:
        """Return the closed groups that count as drained.

        These are idle groups, groups with a lost VM, and groups for which
        the drain timeout has passed.

        :param cache: the cached rows.
        :param status_by_vm: last read-back of each VM.
        :param engine_client: reads the load of engines.
        :param now: monotonic time in ms.
        """
        closed = {
            (each.name, each.attempt): each
            for each in cache.record_by_group.values()
            if each.phase in _DRAINING_PHASES
        }
        self._closed_at_by_attempt = {
            key: self._closed_at_by_attempt.get(key, now) for key in closed
        }
        return frozenset(
            each.name
            for key, each in closed.items()
            if self._is_drained(
                each,
                status_by_vm,
                engine_client,
                now - self._closed_at_by_attempt[key],
            )
            or observation.lost_vms(each, status_by_vm, now, self._timings)
        )

    def _is_drained(
        self,
        group_record: record.GroupRecord,
        status_by_vm: dict[str, vmstatus.VmStatus],
        engine_client: engines.Engines,
        closed_for: clock.Ms,
    ) -> bool:
        # Other daemons send requests until their copy of the state is
        # stale; only then does an idle engine stay idle.
        if closed_for < self._timings.max_state_age:
            return False
        if closed_for >= self._timings.drain_timeout:
            return True
        load = engine_client.read_load(group_record.members[0].address)
        if not isinstance(load, engineload.EngineLoad):
            return False
        return load.running + load.queued == 0
