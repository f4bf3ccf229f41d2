"""Exchanges replicas of one model for replicas of another in a domain."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.replicas import demand as demands
from citronvalve.replicas import layout as layouts
from citronvalve.replicas import localexchange
from citronvalve.replicas import membership
from citronvalve.replicas import replica as replicas
from citronvalve.replicas import runner as runners
from citronvalve.replicas import weights as weights_
from citronvalve.routes import enginespec
from citronvalve.routes import modelspec

#: After an exchange the model that gave up replicas has at most this part of
#: the pressure that the other one had, so that the next change of the load
#: does not undo it.
_MAX_DONOR_SHARE = 0.9

#: An exchange interrupts service, so none begins below this pressure, at which
#: hardly any caller waits.
_MIN_PRESSURE = 0.6

#: Highest utilization of a model that has given up replicas: above it its own
#: callers would be refused instead.
_MAX_DONOR_UTILIZATION = 1.0

#: Part of a model's replicas that may be closed for exchanges at once.
_MAX_CLOSING_PART = 0.1

#: An exchange that has not formed its replica after this time is abandoned:
#: 4 s of draining, a join of 2 s and the delay of the list.
_MAX_DURATION: clock.Ms = 8_000

#: Time after an exchange in which no other one begins in its domain.
_PAUSE: clock.Ms = 4_000


class Exchange(NamedTuple):
    """Replicas that are closed for those of another model.

    ``gained`` is how many their runners form, ``pressure_by_model`` what
    decided, and ``until`` monotonic ms.
    """

    domain: str
    model: str
    gained: int
    keys: tuple[membership.GroupKey, ...]
    pressure_by_model: dict[str, float]
    until: clock.Ms
    datacentre: str


class _Option(NamedTuple):
    """A possible exchange and the pressure of the model that gives up."""

    closed: int
    pressure: float
    domain: str
    keys: tuple[membership.GroupKey, ...]
    datacentre: str


class Exchanger:
    """Chooses replicas to close for a model in higher demand.

    Losses hit the model of large replicas more often: a domain one runner
    short of a large replica can still form small ones.  Over time the small
    model becomes oversupplied while callers of the large one are refused.
    An exchange closes as many replicas of a domain as complete one of the
    other model, together with the free runners there, which are held for it.

    :param spec: engine settings of the service.
    :param demand: demand for each model.
    :param weights: where the models' weights are staged.
    :ivar exchange_by_domain: the exchanges in progress.
    """

    def __init__(
        self,
        spec: enginespec.EngineSpec,
        demand: demands.Demand,
        weights: weights_.Weights,
    ) -> None:
        self._spec = spec
        self._demand = demand
        self._weights = weights
        self._paused_until_by_domain: dict[str, clock.Ms] = {}
        self._begun: list[Exchange] = []
        self.exchange_by_domain: dict[str, Exchange] = {}

    @property
    def to_close(self) -> set[membership.GroupKey]:
        """Return the replicas that are to be closed."""
        return {
            key
            for exchange in self.exchange_by_domain.values()
            for key in exchange.keys
        }

    @property
    def held_for_by_domain(self) -> dict[str, str]:
        """Return the model for which a domain's free runners are held."""
        return {
            domain: exchange.model
            for domain, exchange in self.exchange_by_domain.items()
        }

    def step(
        self,
        closable: Iterable[replicas.Replica],
        free_by_domain: Mapping[str, list[runners.Runner]],
        count_by_model: Mapping[str, int],
        now: clock.Ms,
        layout: layouts.Layout | None = None,
    ) -> None:
        """Begin exchanges, and abandon those that take too long.

        :param closable: complete open replicas that orders can reach.
        :param free_by_domain: free runners.
        :param count_by_model: replicas that exist or are being formed.
        :param now: monotonic ms.
        :param layout: what each data centre wants, None if only the whole
            service is looked at.
        """
        for domain, exchange in list(self.exchange_by_domain.items()):
            if now >= exchange.until:
                self._end(domain, now)
        models = self._spec.model_by_name
        if len(models) < 2 or not self._demand.has_load:
            return
        planned = self._planned_counts(count_by_model)
        if layout is not None:
            self._begin_local(closable, free_by_domain, planned, now, layout)
            return
        while self._begin_one(closable, free_by_domain, planned, now):
            pass

    def _begin_local(
        self,
        closable: Iterable[replicas.Replica],
        free_by_domain: Mapping[str, list[runners.Runner]],
        planned: collections.Counter[str],
        now: clock.Ms,
        layout: layouts.Layout,
    ) -> None:
        """Begin an exchange for each replica that a data centre lacks."""
        there_by_domain = _by_domain(closable)
        for model, datacentre in (*layout.short(), *layout.by_use()):
            formable = self._formable(model, datacentre, free_by_domain)
            if 0 < layout.missing(model.name, datacentre) <= formable:
                continue
            candidates = (
                localexchange.Candidate(
                    domain,
                    donor,
                    self._keys_to_close(
                        model, donor, there, free_by_domain.get(domain, ())
                    ),
                    len(free_by_domain.get(domain, ())),
                )
                for domain, there in there_by_domain.items()
                if _datacentre(there) == datacentre
                and self._may_begin(domain, now)
                and len(free_by_domain.get(domain, ())) < model.size
                for donor in self._spec.model_by_name.values()
                if donor is not model
            )
            chosen = localexchange.best(layout, model, datacentre, candidates)
            if chosen is not None:
                pressure_by_model = self._demand.pressures(planned)
                self._begin(
                    chosen.domain,
                    datacentre,
                    model,
                    chosen.keys,
                    pressure_by_model,
                    planned,
                    now,
                )
                begun = self.exchange_by_domain[chosen.domain]
                layout.add(chosen.donor.name, datacentre, -len(chosen.keys))
                layout.add(model.name, datacentre, begun.gained)

    def _formable(
        self,
        model: modelspec.ModelSpec,
        datacentre: str,
        free_by_domain: Mapping[str, list[runners.Runner]],
    ) -> int:
        """Return how many replicas free runners form without an exchange."""
        return sum(
            len(free) // model.size
            for domain, free in free_by_domain.items()
            if free
            and free[0].datacentre == datacentre
            and domain not in self.exchange_by_domain
        )

    def _begin_one(
        self,
        closable: Iterable[replicas.Replica],
        free_by_domain: Mapping[str, list[runners.Runner]],
        planned: collections.Counter[str],
        now: clock.Ms,
    ) -> bool:
        """Begin the best exchange, if there is one; return whether it did."""
        models = self._spec.model_by_name
        pressure_by_model = self._demand.pressures(planned)
        model = max(models.values(), key=lambda m: pressure_by_model[m.name])
        pressure = pressure_by_model[model.name]
        if pressure < _MIN_PRESSURE:
            return False
        options = [
            option
            for option in self._options(
                model, closable, free_by_domain, planned, now
            )
            if option.pressure <= _MAX_DONOR_SHARE * pressure
        ]
        if not options:
            return False
        best = min(options)
        self._begin(
            best.domain,
            best.datacentre,
            model,
            best.keys,
            pressure_by_model,
            planned,
            now,
        )
        return True

    def _begin(
        self,
        domain: str,
        datacentre: str,
        model: modelspec.ModelSpec,
        keys: tuple[membership.GroupKey, ...],
        pressure_by_model: dict[str, float],
        planned: collections.Counter[str],
        now: clock.Ms,
    ) -> None:
        donor = self._spec.model_by_name[keys[0].model]
        gained = max(1, len(keys) * donor.size // model.size)
        begun = Exchange(
            domain,
            model.name,
            gained,
            keys,
            pressure_by_model,
            now + _MAX_DURATION,
            datacentre,
        )
        self.exchange_by_domain[domain] = begun
        self._begun.append(begun)
        planned[donor.name] -= len(keys)
        planned[model.name] += gained

    def take_begun(self) -> list[Exchange]:
        """Return the exchanges begun since the last call."""
        begun, self._begun = self._begun, []
        return begun

    def record_formed(self, model: str, domain: str, now: clock.Ms) -> None:
        """End the exchange that a new replica completes, if any.

        :param model: the replica's model.
        :param domain: its domain.
        :param now: monotonic ms.
        """
        exchange = self.exchange_by_domain.get(domain)
        if exchange is not None and exchange.model == model:
            self._end(domain, now)

    def _end(self, domain: str, now: clock.Ms) -> None:
        del self.exchange_by_domain[domain]
        self._paused_until_by_domain[domain] = now + _PAUSE

    def _planned_counts(
        self, count_by_model: Mapping[str, int]
    ) -> collections.Counter[str]:
        """Return the replicas once the exchanges in progress are done.

        Those that are to be closed are not counted any more.
        """
        planned = collections.Counter(count_by_model)
        for exchange in self.exchange_by_domain.values():
            planned[exchange.model] += exchange.gained
        return planned

    def _options(
        self,
        model: modelspec.ModelSpec,
        closable: Iterable[replicas.Replica],
        free_by_domain: Mapping[str, list[runners.Runner]],
        planned: collections.Counter[str],
        now: clock.Ms,
    ) -> Iterator[_Option]:
        others = [
            m for m in self._spec.model_by_name.values() if m is not model
        ]
        for domain, there in _by_domain(closable).items():
            if not self._may_begin(domain, now):
                continue
            free = free_by_domain.get(domain, ())
            if len(free) >= model.size:
                # It is about to be formed or is waiting for its weights.
                continue
            for other in others:
                keys = self._keys_to_close(model, other, there, free)
                if not keys or len(keys) > self._may_close(other, planned):
                    continue
                after = planned - collections.Counter({other.name: len(keys)})
                used = self._demand.utilizations(after)[other.name]
                if used > _MAX_DONOR_UTILIZATION:
                    continue
                pressure = self._demand.pressures(after)[other.name]
                yield _Option(
                    len(keys), pressure, domain, keys, _datacentre(there)
                )

    def _may_begin(self, domain: str, now: clock.Ms) -> bool:
        paused_until = self._paused_until_by_domain.get(domain, 0)
        return domain not in self.exchange_by_domain and now >= paused_until

    def _may_close(
        self, model: modelspec.ModelSpec, planned: Mapping[str, int]
    ) -> int:
        most = max(1, int(_MAX_CLOSING_PART * planned[model.name]))
        return most - sum(key.model == model.name for key in self.to_close)

    def _keys_to_close(
        self,
        model: modelspec.ModelSpec,
        other: modelspec.ModelSpec,
        there: Iterable[replicas.Replica],
        free: Iterable[runners.Runner],
    ) -> tuple[membership.GroupKey, ...]:
        """Return the replicas whose members complete one of a model.

        Only runners that need no load count: an exchange takes 2 s with
        staged weights, and more than 12 s without.

        :returns: none if there are too few.
        """
        staged = self._staged_count(free, model)
        gain_by_key = {
            replica.key: self._staged_count(
                replica.member_by_rank.values(), model
            )
            for replica in there
            if replica.key.model == other.name
        }
        keys = []
        for key, gain in sorted(
            gain_by_key.items(), key=lambda item: (-item[1], item[0])
        ):
            if staged >= model.size:
                break
            keys.append(key)
            staged += gain
        return tuple(keys) if staged >= model.size else ()

    def _staged_count(
        self, candidates: Iterable[runners.Runner], model: modelspec.ModelSpec
    ) -> int:
        return sum(
            self._weights.join_time(runner, model) < model.load_time
            for runner in candidates
        )


def _datacentre(there: list[replicas.Replica]) -> str:
    return there[0].member_by_rank[0].datacentre


def _by_domain(
    closable: Iterable[replicas.Replica],
) -> dict[str, list[replicas.Replica]]:
    there_by_domain: dict[str, list[replicas.Replica]] = {}
    for replica in closable:
        domain = replica.member_by_rank[0].domain
        there_by_domain.setdefault(domain, []).append(replica)
    return there_by_domain
