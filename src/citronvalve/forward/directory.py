"""A daemon's current view of routes and upstreams."""

import collections.abc
from collections.abc import Callable
import random

from citronvalve.model import clock
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import runner as runners
from citronvalve.routes import catalogue as catalogues

#: One-way latency in ms to another data centre.
_REMOTE_LATENCY = 1.0

#: Upstreams that are looked at for one that is wanted.
_SAMPLED = 24

#: Upstreams that leave above which those no longer listed are forgotten.
_MOST_LEAVING = 4_096

_CandidateById = dict[str, upstreamchoice.Candidate]


class Directory:
    """Catalogue and upstreams, written by the watchers, read by handlers.

    :param datacentre: the daemon's data centre.
    :ivar catalogue: the newest configuration, or None before the first.
    :ivar runner_by_id: every upstream of the platform's list.
    :ivar left_at_by_id: monotonic ms at which an upstream without a group was
        first seen without one; a restart counts as never having had one.
    :ivar list_known: whether the list has been read.
    :ivar datacentres_out: data centres that get no new requests.
    :ivar confirmed_at: monotonic ms at which the catalogue was last known to
        be the newest.
    """

    def __init__(self, datacentre: str) -> None:
        self._datacentre = datacentre
        self.catalogue: catalogues.Catalogue | None = None
        self.runner_by_id: dict[str, runners.Runner] = {}
        self.left_at_by_id: dict[str, clock.Ms] = {}
        self.list_known = False
        self.datacentres_out: frozenset[str] = frozenset()
        self.confirmed_at: clock.Ms = 0
        self._leaving_start_by_id: dict[str, int] = {}
        self._heads_by_model: dict[tuple[str, str], _CandidateById] = {}
        self._upstreams_by_service: dict[str, _CandidateById] = {}

    @property
    def ready(self) -> bool:
        """Return whether both the catalogue and the list have been read."""
        return self.catalogue is not None and self.list_known

    def adopt(self, catalogue: catalogues.Catalogue) -> bool:
        """Activate a catalogue if it is newer; return whether it was.

        A late version would otherwise restore a route or a key that
        operators have removed.

        :param catalogue: as read.
        """
        current = self.catalogue
        if current is not None and catalogue.version <= current.version:
            return False
        self.catalogue = catalogue
        return True

    def update_runner(self, runner: runners.Runner) -> runners.Runner | None:
        """Apply an entry of the list and return the previous one.

        :param runner: ignored if the known entry is not older.
        """
        previous = self.runner_by_id.get(runner.id)
        if (
            previous is not None
            and previous.list_version >= runner.list_version
        ):
            return previous
        if self._leaving_start_by_id.get(runner.id) == runner.start_id:
            # The list may show it as ready until it is gone.
            runner = runner._replace(leaving=True)
        self.runner_by_id[runner.id] = runner
        self._replace_candidate(previous, runner)
        return previous

    def mark_leaving(self, upstream: str, start_id: int) -> bool:
        """Send an upstream nothing new, whatever the list says.

        :param upstream: its id.
        :param start_id: the start that leaves; another one does not.
        :returns: whether that was not known.
        """
        if self._leaving_start_by_id.get(upstream) == start_id:
            return False
        self._leaving_start_by_id[upstream] = start_id
        if len(self._leaving_start_by_id) > _MOST_LEAVING:
            self._leaving_start_by_id = self.leaving_start_by_id()
        runner = self.runner_by_id.get(upstream)
        if runner is not None and runner.start_id == start_id:
            leaving = runner._replace(leaving=True)
            self.runner_by_id[upstream] = leaving
            self._replace_candidate(runner, leaving)
        return True

    def leaving_start_by_id(self) -> dict[str, int]:
        """Return the listed upstreams that were marked, and their starts."""
        return {
            upstream: start_id
            for upstream, start_id in self._leaving_start_by_id.items()
            if upstream in self.runner_by_id
            and self.runner_by_id[upstream].start_id == start_id
        }

    def remove(self, upstream: str) -> runners.Runner | None:
        """Remove an upstream that is no longer in the list.

        :param upstream: its id.
        """
        previous = self.runner_by_id.pop(upstream, None)
        self.left_at_by_id.pop(upstream, None)
        self._replace_candidate(previous, None)
        return previous

    def record_membership(
        self,
        previous: runners.Runner | None,
        runner: runners.Runner,
        now: clock.Ms,
    ) -> None:
        """Record since when an upstream has had no group.

        :param previous: its previous entry, None if it was not listed.
        :param runner: its entry.
        :param now: monotonic ms.
        """
        if runner.membership is not None:
            self.left_at_by_id.pop(runner.id, None)
        elif previous is None or previous.membership is not None:
            restarted = previous and previous.start_id != runner.start_id
            self.left_at_by_id[runner.id] = 0 if restarted else now

    def set_datacentres_out(self, datacentres: frozenset[str]) -> None:
        """Set the data centres that get no new requests.

        :param datacentres: their names.
        """
        if datacentres == self.datacentres_out:
            return
        self.datacentres_out = datacentres
        self._heads_by_model, self._upstreams_by_service = {}, {}
        for runner in self.runner_by_id.values():
            self._replace_candidate(None, runner)

    def open_heads(
        self, service: str, model: str
    ) -> collections.abc.Collection[upstreamchoice.Candidate]:
        """Return the open replicas of a model, valid until the next change.

        :param service: its service.
        :param model: the model.
        """
        return self._heads_by_model.get((service, model), {}).values()

    def heads_by_model(
        self,
    ) -> list[
        tuple[
            tuple[str, str],
            collections.abc.Collection[upstreamchoice.Candidate],
        ]
    ]:
        """Return the open replicas of each service and model."""
        return [
            (key, candidate_by_id.values())
            for key, candidate_by_id in self._heads_by_model.items()
        ]

    def upstream_count(self) -> int:
        """Return how many upstreams take requests, replicas as one each."""
        engines = {service for service, _ in self._heads_by_model}
        plain = (
            len(candidate_by_id)
            for service, candidate_by_id in self._upstreams_by_service.items()
            if service not in engines
        )
        return sum(map(len, self._heads_by_model.values())) + sum(plain)

    def slots(self, service: str, runner: runners.Runner) -> int:
        """Return how many requests a replica runs at once.

        :param service: its service.
        :param runner: its head.
        """
        declared = (
            self.catalogue.service_by_name.get(service)
            if self.catalogue
            else None
        )
        if declared is None or declared.engine is None:
            return runner.slots
        return declared.engine.slots

    def plain_upstreams(
        self, service: str
    ) -> collections.abc.Collection[upstreamchoice.Candidate]:
        """Return the upstreams of a service, valid until the next change.

        :param service: its name.
        """
        return self._upstreams_by_service.get(service, {}).values()

    def is_in_service(self, upstream: str) -> bool:
        """Return whether an upstream may get new requests.

        :param upstream: its id.
        """
        runner = self.runner_by_id.get(upstream)
        return (
            runner is not None
            and not runner.leaving
            and runner.datacentre not in self.datacentres_out
        )

    def sample(
        self,
        rng: random.Random,
        is_wanted: Callable[[runners.Runner], bool] = lambda _: True,
    ) -> runners.Runner | None:
        """Return an upstream that should accept connections, if one is found.

        :param rng: random source.
        :param is_wanted: returns whether an upstream may be chosen.
        """
        ids = list(self.runner_by_id)
        for upstream in rng.sample(ids, min(_SAMPLED, len(ids))):
            runner = self.runner_by_id[upstream]
            if self.is_in_service(upstream) and is_wanted(runner):
                return runner
        return None

    def datacentres(self) -> set[str]:
        """Return the data centres with upstreams."""
        return {r.datacentre for r in self.runner_by_id.values()}

    def _candidate(self, runner: runners.Runner) -> upstreamchoice.Candidate:
        is_local = runner.datacentre == self._datacentre
        return upstreamchoice.Candidate(
            runner.id,
            runner.slots,
            0.0 if is_local else _REMOTE_LATENCY,
            is_local,
            runner.cold_until,
            runner.datacentre,
        )

    def _replace_candidate(
        self, previous: runners.Runner | None, runner: runners.Runner | None
    ) -> None:
        if previous is not None:
            for candidate_by_id in self._indexes(previous):
                candidate_by_id.pop(previous.id, None)
        if runner is None or runner.leaving:
            return
        if runner.datacentre in self.datacentres_out:
            return
        candidate = self._candidate(runner)
        for candidate_by_id in self._indexes(runner):
            candidate_by_id[runner.id] = candidate

    def _indexes(self, runner: runners.Runner) -> list[_CandidateById]:
        """Return the indexes in which a runner in service stands."""
        plain = self._upstreams_by_service.setdefault(runner.service, {})
        if not runner.is_open_head:
            return [plain]
        key = runner.service, runner.membership.key.model
        return [plain, self._heads_by_model.setdefault(key, {})]
