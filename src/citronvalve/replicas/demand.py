"""Demand for replicas of each model."""

from collections.abc import Mapping

from citronvalve.model import clock
from citronvalve.routes import modelspec

#: An observed load loses half its weight in this time: bursts last some
#: seconds, and a replica takes up to 2 s to form.
_HALF_LIFE: clock.Ms = 4_000

#: A model whose demand is below this ratio of another one's is oversupplied.
#: With one replica more or fewer each of its replicas still has about half
#: as many requests, so runners don't move back and forth.
_OVERSUPPLY_RATIO = 0.5

#: Lower bound of a model's load as a part of its declared share, since a
#: model without an open replica shows no load.
_MIN_DECLARED_PART = 0.5


class Demand:
    """Ranks models by their declared share, or by load once there is any.

    The declared share is a share of the runners' work, of which a replica of
    twice the size does twice as much.  The load counts requests at replicas.
    """

    def __init__(self) -> None:
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

    def ranked(
        self,
        models: Mapping[str, modelspec.ModelSpec],
        count_by_model: Mapping[str, int],
    ) -> list[modelspec.ModelSpec]:
        """Return the models by demand, the highest first.

        The demand is the load of each replica once there is one more, so the
        model with the busiest replicas comes first.

        :param models: by name.
        :param count_by_model: replicas that exist or are being formed.
        """
        demand_by_model = self._demand_by_model(models, count_by_model, 1)
        return sorted(
            models.values(), key=lambda m: (-demand_by_model[m.name], m.name)
        )

    def oversupplied(
        self,
        top: modelspec.ModelSpec,
        models: Mapping[str, modelspec.ModelSpec],
        count_by_model: Mapping[str, int],
        removed: int = 0,
    ) -> set[str]:
        """Return the models that are oversupplied compared with another.

        :param top: the model in higher demand.
        :param models: by name.
        :param count_by_model: replicas that exist or are being formed.
        :param removed: 1 for models that could also close one replica.
        """
        demand_by_model = self._demand_by_model(models, count_by_model, 1)
        without_by_model = self._demand_by_model(
            models, count_by_model, 1 - removed
        )
        return {
            name
            for name in models
            if without_by_model[name]
            < _OVERSUPPLY_RATIO * demand_by_model[top.name]
        }

    def _demand_by_model(
        self,
        models: Mapping[str, modelspec.ModelSpec],
        count_by_model: Mapping[str, int],
        added: int,
    ) -> dict[str, float]:
        return {
            name: weight / max(1, count_by_model.get(name, 0) + added)
            for name, weight in self._weight_by_model(models).items()
        }

    def _weight_by_model(
        self, models: Mapping[str, modelspec.ModelSpec]
    ) -> dict[str, float]:
        declared = {m.name: m.initial_share / m.size for m in models.values()}
        total = sum(self._load_by_model.get(name, 0.0) for name in models)
        if not total:
            return declared
        scale = _MIN_DECLARED_PART * total / sum(declared.values())
        return {
            name: max(self._load_by_model.get(name, 0.0), scale * weight)
            for name, weight in declared.items()
        }
