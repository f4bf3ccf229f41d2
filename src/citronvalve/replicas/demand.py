"""Demand for replicas of each model."""

from collections.abc import Callable
from collections.abc import Mapping
import math

from citronvalve.model import clock
from citronvalve.routes import enginespec

#: An observed load loses half its weight in this time: bursts last some
#: seconds, and a replica takes up to 2 s to form.
_HALF_LIFE: clock.Ms = 4_000

#: Lower bound of a model's load as a part of its declared share, since a
#: model without an open replica shows no load.
_MIN_DECLARED_PART = 0.5

#: Slots beyond the mean load, in standard deviations of a Poisson load.  A
#: model with few requests needs more spare slots for each of them.
_MARGIN_DEVIATIONS = 2.0


class Demand:
    """Compares models by the use of their slots, with a safety margin.

    Models are compared by their declared share until there is any load.
    The declared share is a share of the runners' work, of which a replica of
    twice the size does twice as much.  The load counts requests at replicas.

    :param spec: engine settings of the service.
    """

    def __init__(self, spec: enginespec.EngineSpec) -> None:
        self._spec = spec
        self._load_by_model: dict[str, float] = {}
        self._observed_at: clock.Ms | None = None

    def observe(
        self, load_by_model: Mapping[str, float], now: clock.Ms
    ) -> None:
        """Update the moving average of each model's load.

        :param load_by_model: requests running and queued at all replicas.
        :param now: monotonic ms.
        """
        elapsed = 0 if self._observed_at is None else now - self._observed_at
        old_weight = (
            0.5 ** (elapsed / _HALF_LIFE)
            if self._observed_at is not None
            else 0.0
        )
        self._observed_at = now
        for model, load in load_by_model.items():
            previous = self._load_by_model.get(model, load)
            self._load_by_model[model] = (
                old_weight * previous + (1 - old_weight) * load
            )

    def pressures(self, count_by_model: Mapping[str, int]) -> dict[str, float]:
        """Return each model's load with its margin, as a part of its slots.

        Above 1 callers are likely to wait.  Without any load only the ratio
        between models has a meaning.

        :param count_by_model: replicas; none counts as one.
        """
        need = _with_margin if self.has_load else float
        return self._per_slot(need, count_by_model)

    def utilizations(
        self, count_by_model: Mapping[str, int]
    ) -> dict[str, float]:
        """Return each model's load as a part of its slots.

        :param count_by_model: replicas; none counts as one.
        """
        return self._per_slot(float, count_by_model)

    def _per_slot(
        self,
        need: Callable[[float], float],
        count_by_model: Mapping[str, int],
    ) -> dict[str, float]:
        return {
            name: need(load)
            / (self._spec.slots * max(1, count_by_model.get(name, 0)))
            for name, load in self._loads().items()
        }

    @property
    def has_load(self) -> bool:
        """Return whether any request has been observed."""
        return any(self._load_by_model.values())

    def _loads(self) -> dict[str, float]:
        models = self._spec.model_by_name
        declared = {m.name: m.initial_share / m.size for m in models.values()}
        total = sum(self._load_by_model.get(name, 0.0) for name in models)
        if not total:
            return declared
        scale = _MIN_DECLARED_PART * total / sum(declared.values())
        return {
            name: max(self._load_by_model.get(name, 0.0), scale * weight)
            for name, weight in declared.items()
        }


def _with_margin(load: float) -> float:
    return load + _MARGIN_DEVIATIONS * math.sqrt(load)
