"""Which runners are alive, according to the list and to probes."""

import collections

from citronvalve.model import clock
from citronvalve.replicas import probefailure
from citronvalve.replicas import runner as runners
from citronvalve.replicas import suspicion as suspicions
from citronvalve.replicas import witnesses

#: Time between two probes of a suspected runner.
_SUSPECT_PROBE_INTERVAL: clock.Ms = 400

#: Time between two probes of other runners in a data centre after a loss
#: there, until one of them answers.
_DATACENTRE_PROBE_INTERVAL: clock.Ms = 300

#: Time between two probes of a lost runner, and of one that left the list
#: and answers.
_SLOW_PROBE_INTERVAL: clock.Ms = 2_000

#: A data centre without any answer for this long is partitioned.  After the
#: loss of a single runner another one there answers within a third of it.
_MIN_PARTITION_TIME: clock.Ms = 1_000

#: Time after a partition has healed for which the state of the data centre is
#: stale: its entries come back within 2 s, and delayed orders arrive.
_SETTLING_TIME: clock.Ms = 2_500

#: An answer that took longer than this was held up by a pause of the runner.
_PROMPT_ANSWER: clock.Ms = 150

#: A runner that left the list is remembered for this long.
_UNLISTED_RETENTION: clock.Ms = 30_000


class Liveness:
    """Tracks which runners are alive.

    The list shows a crash only seconds later, and drops live runners that
    can't reach it.  So a runner that is suspected or has left the list is
    probed before it counts as lost, and with it a witness: another runner of
    the data centre, whose answer shows that runners there can answer.

    :param pause_limit: longest ms for which a runner that accepts connections
        may leave its probes without an answer.
    """

    def __init__(self, pause_limit: clock.Ms) -> None:
        self._pause_limit = pause_limit
        self._suspicion_by_id: dict[str, suspicions.Suspicion] = {}
        self._unlisted_by_id: dict[str, tuple[runners.Runner, clock.Ms]] = {}
        self._listed_by_id: dict[str, runners.Runner] = {}
        self._answered_at_by_id: dict[str, clock.Ms] = {}
        self._heard_at_by_datacentre: dict[str, clock.Ms] = {}
        self._datacentre_probed_at: clock.Ms = -_DATACENTRE_PROBE_INTERVAL
        self._unreachable_since: dict[str, clock.Ms] = {}
        self._healed_at_by_datacentre: dict[str, clock.Ms] = {}
        self._witness_choice = witnesses.Witnesses()
        self._answered_late: set[str] = set()

    def apply_list(
        self, runner_by_id: dict[str, runners.Runner], now: clock.Ms
    ) -> None:
        """Apply the current list.

        :param runner_by_id: all entries.
        :param now: monotonic ms.
        """
        for gone in self._listed_by_id.keys() - runner_by_id.keys():
            self._unlisted_by_id[gone] = self._listed_by_id[gone], now
            self.suspect(gone)
        for runner_id, runner in runner_by_id.items():
            held = self._listed_by_id.get(runner_id)
            if held is None or held.start_id != runner.start_id:
                # Probe results of an earlier start don't apply to this one.
                self._suspicion_by_id.pop(runner_id, None)
                self._unlisted_by_id.pop(runner_id, None)
        self._listed_by_id = dict(runner_by_id)
        self._answered_at_by_id = {
            r: at
            for r, at in self._answered_at_by_id.items()
            if r in self._listed_by_id
        }
        self._witness_choice.retain(self._listed_by_id.keys())
        for gone, (_, since) in list(self._unlisted_by_id.items()):
            if now - since > _UNLISTED_RETENTION:
                del self._unlisted_by_id[gone]
                self._suspicion_by_id.pop(gone, None)

    def suspect(self, runner_id: str) -> None:
        """Suspect a runner, so that it is probed.

        :param runner_id: its id.
        """
        if runner_id not in self._suspicion_by_id:
            self._suspicion_by_id[runner_id] = self._new_suspicion()

    def _new_suspicion(self) -> suspicions.Suspicion:
        return suspicions.Suspicion(self._pause_limit)

    def alive(self) -> list[runners.Runner]:
        """Return all runners that are not lost, listed or not."""
        unlisted = [held for held, _ in self._unlisted_by_id.values()]
        return [
            runner
            for runner in (*self._listed_by_id.values(), *unlisted)
            if not self.is_lost(runner.id)
        ]

    def is_departed(self, runner_id: str) -> bool:
        """Return whether a lost runner left in an orderly way.

        A leaving runner stops listening but stays until the requests of its
        head have ended.  If it counted as dead, its group would be cut, and
        callers would lose streams that end within a second or two.  It
        announced that it leaves or answered after it had left the list; a
        runner that crashes does neither.

        :param runner_id: its id.
        """
        held = self.find(runner_id)
        if held is None or not self.is_lost(runner_id):
            return False
        return (
            held.leaving or self._suspicion_by_id[runner_id].answered_unlisted
        )

    def departed(self) -> list[runners.Runner]:
        """Return the runners that left in an orderly way, as last known."""
        return [
            self.find(runner)
            for runner in self._suspicion_by_id
            if self.is_departed(runner)
        ]

    def find(self, runner_id: str) -> runners.Runner | None:
        """Return a runner as last known.

        :param runner_id: its id.
        """
        held = self._listed_by_id.get(runner_id)
        if held is not None:
            return held
        unlisted = self._unlisted_by_id.get(runner_id)
        return unlisted[0] if unlisted else None

    def largest_domain_size(self) -> int:
        """Return the number of listed runners in the largest domain."""
        counts = collections.Counter(
            r.domain for r in self._listed_by_id.values()
        )
        return max(counts.values(), default=0)

    def is_listed(self, runner_id: str) -> bool:
        """Return whether a runner is in the list.

        :param runner_id: its id.
        """
        return runner_id in self._listed_by_id

    def is_lost(self, runner_id: str) -> bool:
        """Return whether a runner counts as lost.

        :param runner_id: its id.
        """
        suspicion = self._suspicion_by_id.get(runner_id)
        return suspicion is not None and suspicion.is_lost

    def is_paused(self, runner_id: str) -> bool:
        """Return whether a runner accepts connections and does not answer.

        :param runner_id: its id.
        """
        suspicion = self._suspicion_by_id.get(runner_id)
        return suspicion is not None and suspicion.is_paused

    def take_paused(self) -> set[str]:
        """Return the runners found to have paused since the last call.

        They are silent still, or answered a probe late.
        """
        paused = set(filter(self.is_paused, self._suspicion_by_id))
        late, self._answered_late = self._answered_late, set()
        return late | paused

    def silent_for(self, runner_id: str, now: clock.Ms) -> clock.Ms:
        """Return for how long a runner has not answered its probes.

        :param runner_id: its id.
        :param now: monotonic ms.
        :returns: ms since the first of the probes in a row that failed.
        """
        suspicion = self._suspicion_by_id.get(runner_id)
        return suspicion.silent_for(now) if suspicion is not None else 0

    def is_suspected(self, runner_id: str) -> bool:
        """Return whether a runner is suspected to be lost.

        :param runner_id: its id.
        """
        return runner_id in self._suspicion_by_id

    def _unreachable_datacentres(self) -> set[str]:
        """Return the data centres that can't be reached from here.

        In a network partition no runner behind it answers although all are
        alive.  So another runner must have answered since the last loss; an
        earlier answer may be from before the partition.
        """
        silent_at_by_datacentre = self._silent_at_by_datacentre()
        if not silent_at_by_datacentre:
            return set()
        answered_at: dict[str, clock.Ms] = {}
        for runner_id, at in self._answered_at_by_id.items():
            held = self._listed_by_id.get(runner_id)
            if held is not None:
                newest = answered_at.get(held.datacentre, at)
                answered_at[held.datacentre] = max(newest, at)
        return {
            datacentre
            for datacentre, silent_at in silent_at_by_datacentre.items()
            if datacentre not in answered_at
            or answered_at[datacentre] < silent_at
        }

    def due_probes(self, now: clock.Ms) -> list[str]:
        """Return the ids of the runners to be probed now.

        :param now: monotonic ms.
        """
        due = self._due_datacentre_probes(now)
        to_compare = []
        for runner_id, suspicion in self._suspicion_by_id.items():
            heard_at = self._heard_at(runner_id)
            if (
                suspicion.probed_at is not None
                and now - suspicion.probed_at
                < self._probe_interval(runner_id, suspicion, heard_at)
            ):
                continue
            if suspicion.record_probe(now, heard_at):
                to_compare.append(runner_id)
            due.append(runner_id)
        return due + self._witnesses(to_compare, now)

    def _probe_interval(
        self,
        runner_id: str,
        suspicion: suspicions.Suspicion,
        heard_at: clock.Ms | None,
    ) -> clock.Ms:
        if suspicion.is_lost or suspicion.is_undecided(heard_at):
            return _SLOW_PROBE_INTERVAL
        if suspicion.last_probe_failed or runner_id in self._listed_by_id:
            return _SUSPECT_PROBE_INTERVAL
        return _SLOW_PROBE_INTERVAL

    def _witnesses(self, suspects: list[str], now: clock.Ms) -> list[str]:
        if not suspects:
            return []
        able = [
            runner
            for runner in self._listed_by_id.values()
            if not runner.leaving and not self.is_suspected(runner.id)
        ]
        known = [held for held in map(self.find, suspects) if held]
        return self._witness_choice.choose(known, able, now)

    def _heard_at(self, runner_id: str) -> clock.Ms | None:
        held = self.find(runner_id)
        return held and self._heard_at_by_datacentre.get(held.datacentre)

    def unsettled_datacentres(self, now: clock.Ms) -> set[str]:
        """Return the data centres whose state is unknown or stale.

        They can't be reached, were partitioned until shortly before, or a
        silent runner there may have paused only.

        :param now: monotonic ms.
        """
        healed = {
            datacentre
            for datacentre, at in self._healed_at_by_datacentre.items()
            if now - at < _SETTLING_TIME
        }
        return (
            healed
            | self._unreachable_datacentres()
            | self._undecided_datacentres()
        )

    def track_partitions(self, now: clock.Ms) -> None:
        """Record which data centres are partitioned and which have healed.

        When a partition heals, the runners behind it are probed afresh.  If
        they stayed lost, groups that served all the while would be closed.

        :param now: monotonic ms.
        """
        unreachable = self._unreachable_datacentres()
        for datacentre in self._silent_at_by_datacentre():
            if datacentre in unreachable:
                self._unreachable_since.setdefault(datacentre, now)
                continue
            since = self._unreachable_since.pop(datacentre, None)
            if since is not None and now - since >= _MIN_PARTITION_TIME:
                self._healed_at_by_datacentre[datacentre] = now
                self._renew_suspicions(datacentre)

    def _renew_suspicions(self, datacentre: str) -> None:
        for runner_id in self._suspicion_by_id:
            held = self.find(runner_id)
            if held is not None and held.datacentre == datacentre:
                self._suspicion_by_id[runner_id] = self._new_suspicion()

    def _undecided_datacentres(self) -> set[str]:
        return {
            held.datacentre
            for runner_id, suspicion in self._suspicion_by_id.items()
            if suspicion.is_silent
            and not suspicion.is_lost
            and (held := self.find(runner_id))
        }

    def _silent_at_by_datacentre(self) -> dict[str, clock.Ms]:
        newest: dict[str, clock.Ms] = {}
        for runner_id, suspicion in self._suspicion_by_id.items():
            held = self.find(runner_id)
            if suspicion.silent_at is None or held is None:
                continue
            before = newest.get(held.datacentre, suspicion.silent_at)
            newest[held.datacentre] = max(before, suspicion.silent_at)
        return newest

    def _due_datacentre_probes(self, now: clock.Ms) -> list[str]:
        # After a loss one runner of each domain there is probed until one of
        # them has answered.
        if now - self._datacentre_probed_at < _DATACENTRE_PROBE_INTERVAL:
            return []
        unreachable = self._unreachable_datacentres()
        if not unreachable:
            return []
        due: dict[str, str] = {}
        for runner in self._listed_by_id.values():
            usable = not runner.leaving and not self.is_lost(runner.id)
            if runner.datacentre in unreachable and usable:
                due.setdefault(runner.domain, runner.id)
        if due:
            self._datacentre_probed_at = now
        return list(due.values())

    def record_answer(self, runner_id: str, now: clock.Ms) -> None:
        """Record that a runner answered a probe.

        :param runner_id: its id.
        :param now: monotonic ms.
        """
        self._answered_at_by_id[runner_id] = now
        self._witness_choice.record_answer(runner_id, now)
        self._record_late_answer(runner_id, now)
        held = self._listed_by_id.get(runner_id)
        if held is not None:
            self._heard_at_by_datacentre[held.datacentre] = now
            self._suspicion_by_id.pop(runner_id, None)
            return
        suspicion = self._suspicion_by_id.get(runner_id)
        if suspicion is not None:
            suspicion.record_unlisted_answer()

    def _record_late_answer(self, runner_id: str, now: clock.Ms) -> None:
        suspicion = self._suspicion_by_id.get(runner_id)
        if suspicion is None or suspicion.probed_at is None:
            return
        if now - suspicion.probed_at > _PROMPT_ANSWER:
            self._answered_late.add(runner_id)

    def record_no_answer(
        self, runner_id: str, how: probefailure.ProbeFailure, now: clock.Ms
    ) -> None:
        """Record that a probe had no report.

        A refused connection counts like one that was not opened: during a
        partition the network may refuse it on behalf of a runner that is
        alive.

        :param runner_id: its id.
        :param how: how the probe failed.
        :param now: monotonic ms.
        """
        suspicion = self._suspicion_by_id.get(runner_id)
        if suspicion is not None:
            suspicion.record_failure(how, now)
