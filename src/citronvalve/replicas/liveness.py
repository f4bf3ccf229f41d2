"""Which runners are there, from the list and from looking."""

import collections

from citronvalve.model import clock
from citronvalve.replicas import runner as runners
from citronvalve.replicas import suspicion as suspicions

#: A runner that answers is looked at again after this time while it is in
#: doubt.
_SUSPECT_PROBE_INTERVAL: clock.Ms = 400

#: How often others of a data centre are looked at after a loss there, until
#: one of them answers.
_DATACENTRE_PROBE_INTERVAL: clock.Ms = 300

#: One that left the list and answers is looked at less often.
_SLOW_PROBE_INTERVAL: clock.Ms = 2_000

#: A data centre of which nobody answers for so long is behind a cut; after a
#: single loss another runner there answers within a third of it.
_MIN_PARTITION_TIME: clock.Ms = 1_000

#: Once a cut has healed, what is known of the data centre is old for so long:
#: its entries come back within two seconds, orders that were held up arrive.
_SETTLING_TIME: clock.Ms = 2_500

#: One that left the list is kept in mind for this long.
_UNLISTED_RETENTION: clock.Ms = 30_000


class Liveness:
    """Keeps what is known of each runner's life.

    The list lags by seconds when a runner dies without a word, and drops
    runners that live but can't reach it.  So whoever is accused, or gone
    from the list, is looked at before anything is decided.
    """

    def __init__(self) -> None:
        self._suspicion_by_id: dict[str, suspicions.Suspicion] = {}
        self._unlisted_by_id: dict[str, tuple[runners.Runner, clock.Ms]] = {}
        self._listed_by_id: dict[str, runners.Runner] = {}
        self._answered_at_by_id: dict[str, clock.Ms] = {}
        self._datacentre_probed_at: clock.Ms = -_DATACENTRE_PROBE_INTERVAL
        self._unreachable_since: dict[str, clock.Ms] = {}
        self._healed_at_by_datacentre: dict[str, clock.Ms] = {}

    def apply_list(
        self, runner_by_id: dict[str, runners.Runner], now: clock.Ms
    ) -> None:
        """Take in the list as it is now.

        :param runner_by_id: all that it holds.
        :param now: monotonic ms.
        """
        for gone in self._listed_by_id.keys() - runner_by_id.keys():
            self._unlisted_by_id[gone] = self._listed_by_id[gone], now
            self.suspect(gone)
        for runner_id, runner in runner_by_id.items():
            held = self._listed_by_id.get(runner_id)
            if held is None or held.start_id != runner.start_id:
                # A new start owes nothing to what was seen of the last.
                self._suspicion_by_id.pop(runner_id, None)
                self._unlisted_by_id.pop(runner_id, None)
        self._listed_by_id = dict(runner_by_id)
        self._answered_at_by_id = {
            r: at
            for r, at in self._answered_at_by_id.items()
            if r in self._listed_by_id
        }
        for gone, (_, since) in list(self._unlisted_by_id.items()):
            if now - since > _UNLISTED_RETENTION:
                del self._unlisted_by_id[gone]
                self._suspicion_by_id.pop(gone, None)

    def suspect(self, runner_id: str) -> None:
        """Note that a runner may be lost.

        :param runner: its id.
        """
        self._suspicion_by_id.setdefault(runner_id, suspicions.Suspicion())

    def alive(self) -> list[runners.Runner]:
        """Return all runners that may live, listed or not."""
        unlisted = [held for held, _ in self._unlisted_by_id.values()]
        return [
            runner
            for runner in (*self._listed_by_id.values(), *unlisted)
            if not self.is_lost(runner.id)
        ]

    def is_departed(self, runner_id: str) -> bool:
        """Tell whether a runner that is silent left in order.

        One that leaves listens no more while its head's work goes on, and
        stays for that work.  Taken for dead, it would have its group cut,
        and callers would lose streams that end within a second or two.  It
        said that it leaves, or it answered after it had left the list; one
        that dies does neither.

        :param runner: its id.
        """
        held = self.find(runner_id)
        if held is None or not self.is_lost(runner_id):
            return False
        return (
            held.leaving or self._suspicion_by_id[runner_id].answered_unlisted
        )

    def departed(self) -> list[runners.Runner]:
        """Return the silent runners that left in order, as last known."""
        return [
            self.find(runner)
            for runner in self._suspicion_by_id
            if self.is_departed(runner)
        ]

    def find(self, runner_id: str) -> runners.Runner | None:
        """Return what was last known of a runner.

        :param runner: its id.
        """
        held = self._listed_by_id.get(runner_id)
        if held is not None:
            return held
        unlisted = self._unlisted_by_id.get(runner_id)
        return unlisted[0] if unlisted else None

    def largest_domain_size(self) -> int:
        """Return how many listed runners the largest domain has."""
        counts = collections.Counter(
            r.domain for r in self._listed_by_id.values()
        )
        return max(counts.values(), default=0)

    def is_listed(self, runner_id: str) -> bool:
        """Tell whether the list holds a runner.

        :param runner: its id.
        """
        return runner_id in self._listed_by_id

    def is_lost(self, runner_id: str) -> bool:
        """Tell whether a runner counts as lost.

        :param runner: its id.
        """
        suspicion = self._suspicion_by_id.get(runner_id)
        return suspicion is not None and suspicion.is_lost

    def is_suspected(self, runner_id: str) -> bool:
        """Tell whether a runner is being looked at.

        :param runner: its id.
        """
        return runner_id in self._suspicion_by_id

    def is_reachable(self, datacentre: str) -> bool:
        """Tell whether a data centre can be reached from here.

        When a link between data centres is cut, every runner behind it goes
        silent, and each of them lives.  So after the last loss there another
        runner must have answered; an answer from before the loss may be from
        before the cut.

        :param datacentre: its name.
        """
        lost = self._lost_at_by_datacentre().get(datacentre)
        if lost is None:
            return True
        return any(
            at >= lost
            for runner, at in self._answered_at_by_id.items()
            if self._is_in(runner, datacentre)
        )

    def due_probes(self, now: clock.Ms) -> list[str]:
        """Return the runners that are to be looked at now.

        :param now: monotonic ms.
        """
        due = self._due_datacentre_probes(now)
        for runner_id, suspicion in self._suspicion_by_id.items():
            interval = (
                _SUSPECT_PROBE_INTERVAL
                if runner_id in self._listed_by_id
                else _SLOW_PROBE_INTERVAL
            )
            if suspicion.last_probe_failed:
                interval = _SUSPECT_PROBE_INTERVAL
            if suspicion.is_lost:
                interval = _SLOW_PROBE_INTERVAL
            if (
                suspicion.probed_at is None
                or now - suspicion.probed_at >= interval
            ):
                suspicion.probed_at = now
                due.append(runner_id)
        return due

    def is_settled(self, datacentre: str, now: clock.Ms) -> bool:
        """Tell whether what is known of a data centre can be acted on.

        :param datacentre: its name.
        :param now: monotonic ms.
        """
        if not self.is_reachable(datacentre):
            return False
        healed = self._healed_at_by_datacentre.get(datacentre)
        return healed is None or now - healed >= _SETTLING_TIME

    def track_partitions(self, now: clock.Ms) -> None:
        """Note which data centres are behind a cut, and which are back.

        Whoever went silent behind a cut is asked anew when it has healed;
        taken for lost, it would lose its group, which served all the while.

        :param now: monotonic ms.
        """
        for datacentre in self._lost_at_by_datacentre():
            if not self.is_reachable(datacentre):
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
                self._suspicion_by_id[runner_id] = suspicions.Suspicion()

    def _is_in(self, runner_id: str, datacentre: str) -> bool:
        held = self._listed_by_id.get(runner_id)
        return held is not None and held.datacentre == datacentre

    def _lost_at_by_datacentre(self) -> dict[str, clock.Ms]:
        newest: dict[str, clock.Ms] = {}
        for runner_id, suspicion in self._suspicion_by_id.items():
            held = self.find(runner_id)
            if suspicion.lost_at is None or held is None:
                continue
            before = newest.get(held.datacentre, suspicion.lost_at)
            newest[held.datacentre] = max(before, suspicion.lost_at)
        return newest

    def _due_datacentre_probes(self, now: clock.Ms) -> list[str]:
        # After a loss one runner of each domain there is looked at, until
        # one of them has answered.
        if now - self._datacentre_probed_at < _DATACENTRE_PROBE_INTERVAL:
            return []
        unreachable = {
            datacentre
            for datacentre in self._lost_at_by_datacentre()
            if not self.is_reachable(datacentre)
        }
        due: dict[str, str] = {}
        for runner in self._listed_by_id.values():
            usable = not runner.leaving and not self.is_lost(runner.id)
            if runner.datacentre in unreachable and usable:
                due.setdefault(runner.domain, runner.id)
        if due:
            self._datacentre_probed_at = now
        return list(due.values())

    def record_answer(self, runner_id: str, now: clock.Ms) -> None:
        """Note that a runner answered a look.

        :param runner: its id.
        :param now: monotonic ms.
        """
        self._answered_at_by_id[runner_id] = now
        if runner_id in self._listed_by_id:
            self._suspicion_by_id.pop(runner_id, None)
            return
        suspicion = self._suspicion_by_id.get(runner_id)
        if suspicion is not None:
            suspicion.record_unlisted_answer()

    def record_no_answer(self, runner_id: str, now: clock.Ms) -> None:
        """Note that a look had no answer.

        A port that refuses proves no more than silence: a link that is cut
        may refuse in the runner's place, which lives behind it.

        :param runner: its id.
        :param now: monotonic ms.
        """
        suspicion = self._suspicion_by_id.get(runner_id)
        if suspicion is not None:
            suspicion.record_failure(now)
