"""Choice of runners that are probed beside suspected ones."""

from collections.abc import Collection
from collections.abc import Iterable

from citronvalve.model import clock
from citronvalve.replicas import runner as runners


class Witnesses:
    """Runners whose answers show that others of their data centre can answer.

    Those that did not answer when they were last asked come last, since they
    may be dead, too.
    """

    def __init__(self) -> None:
        self._asked_at_by_id: dict[str, clock.Ms] = {}
        self._answered_at_by_id: dict[str, clock.Ms] = {}

    def retain(self, listed: Collection[str]) -> None:
        """Forget all other runners.

        :param listed: the ids to keep.
        """
        for at_by_id in (self._asked_at_by_id, self._answered_at_by_id):
            for gone in at_by_id.keys() - listed:
                del at_by_id[gone]

    def record_answer(self, runner_id: str, now: clock.Ms) -> None:
        """Record that a runner answered a probe.

        :param runner_id: its id.
        :param now: monotonic ms.
        """
        self._answered_at_by_id[runner_id] = now

    def choose(
        self,
        suspects: Iterable[runners.Runner],
        able: Collection[runners.Runner],
        now: clock.Ms,
    ) -> list[str]:
        """Return the id of one runner for each data centre of suspected ones.

        :param suspects: runners of their domains come last, since a whole
            domain may be lost.
        :param able: listed runners that are neither leaving nor suspected.
        :param now: monotonic ms.
        """
        domain_by_datacentre: dict[str, set[str]] = {}
        for suspect in suspects:
            domains = domain_by_datacentre.setdefault(
                suspect.datacentre, set()
            )
            domains.add(suspect.domain)
        chosen = []
        for datacentre, domains in domain_by_datacentre.items():
            there = [r for r in able if r.datacentre == datacentre]
            if there:
                chosen.append(min(there, key=lambda r: self._rank(r, domains)))
        ids = [runner.id for runner in chosen]
        self._asked_at_by_id.update(dict.fromkeys(ids, now))
        return ids

    def _rank(
        self, runner: runners.Runner, domains: set[str]
    ) -> tuple[bool, bool]:
        return runner.domain in domains, self._has_ignored_probe(runner.id)

    def _has_ignored_probe(self, runner_id: str) -> bool:
        asked_at = self._asked_at_by_id.get(runner_id)
        if asked_at is None:
            return False
        answered_at = self._answered_at_by_id.get(runner_id)
        return answered_at is None or answered_at < asked_at
