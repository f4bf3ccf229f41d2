"""Which model the next replica should be of."""

from collections.abc import Mapping

from citronvalve.model import clock
from citronvalve.routes import modelspec

#: What was seen of the load loses half its weight in this time: bursts last
#: some seconds, and a replica takes up to two to form.
_HALF_LIFE: clock.Ms = 4_000

#: A model whose need is below this part of another one's has replicas to
#: spare: with one more, or one fewer, it still has half as many requests at
#: each, so runners that change hands do not come back at once.
_OVERSUPPLY_RATIO = 0.5

#: A model of which no replica is open shows no load; it is never taken to
#: need less than this part of its declared share.
_MIN_DECLARED_PART = 0.5


class Demand:
    """Weighs the models by their declared share, then by what is seen.

    The declared share is of the runners' work, so a replica of twice the
    size does twice as much of it; what is seen is requests at the replicas.
    """

    def __init__(self) -> None:
        self._load_by_model: dict[str, float] = {}
        self._observed_at: clock.Ms | None = None

    def observe(
        self, load_by_model: Mapping[str, float], now: clock.Ms
    ) -> None:
        """Take in how many requests are at the replicas of each model.

        :param load_by_model: running and waiting, over all replicas.
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
        """Return the models, the one in most need of a replica first.

        Made so that the model whose replicas are the busiest grows first:
        the need is the work of each replica once there is one more.

        :param models: by name.
        :param count_by_model: replicas that stand or are being formed.
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
        """Return the models that have replicas to spare beside another.

        :param top: the model in more need.
        :param models: by name.
        :param count_by_model: replicas that stand or are being formed.
        :param fewer: 1 to ask for those that could also give one up.
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
