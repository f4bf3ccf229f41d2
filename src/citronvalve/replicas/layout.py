"""Replicas that there are and that are wanted, by model and data centre."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from citronvalve.replicas import wants as wants_
from citronvalve.routes import enginespec
from citronvalve.routes import modelspec

#: A place whose use of slots is below this ratio of the highest one's needs
#: no more.
_MIN_USE_RATIO = 0.5

#: Replicas of a model are far larger than others from this ratio on.
_MIN_SIZE_RATIO = 4

#: Replicas of fewer runners are lost seldom.
_MIN_LARGE_SIZE = 12


class Layout:
    """The replicas of one plan, beside those that are wanted.

    :param spec: engine settings of the service.
    :param wants: the load of each place.
    :param count_by_place: replicas that exist or are being formed, and those
        of exchanges in progress.
    :param needed_by_place: the fewest with which callers hardly wait.
    :param wanted_by_place: the needed ones and those that cover repairs.
    """

    def __init__(
        self,
        spec: enginespec.EngineSpec,
        wants: wants_.Wants,
        count_by_place: Mapping[wants_.Place, int],
        needed_by_place: Mapping[wants_.Place, int],
        wanted_by_place: Mapping[wants_.Place, int],
    ) -> None:
        self._spec = spec
        self._wants = wants
        self._count_by_place = collections.Counter(count_by_place)
        self._needed_by_place = needed_by_place
        self._wanted_by_place = wanted_by_place

    def add(self, model: str, datacentre: str, count: int = 1) -> None:
        """Count replicas that are formed, or closed if negative.

        :param model: their model.
        :param datacentre: their data centre.
        :param count: how many more there are.
        """
        self._count_by_place[wants_.Place(model, datacentre)] += count

    def short(self) -> list[tuple[modelspec.ModelSpec, str]]:
        """Return models and data centres with fewer replicas than wanted.

        Larger models come first, as a small replica fits nearly anywhere;
        among equal ones that with the highest use of its slots.
        """
        places = [
            place
            for place in self._wanted_by_place
            if self.missing(place.model, place.datacentre) > 0
        ]
        places.sort(
            key=lambda place: (
                -self._spec.model_by_name[place.model].size,
                -self.use(place.model, place.datacentre),
                place,
            )
        )
        return [
            (self._spec.model_by_name[place.model], place.datacentre)
            for place in places
        ]

    def missing(self, model: str, datacentre: str) -> int:
        """Return how many replicas are wanted beyond those there are.

        :param model: the model.
        :param datacentre: the data centre.
        """
        place = wants_.Place(model, datacentre)
        wanted = self._wanted_by_place.get(place, 0)
        return wanted - self._count_by_place[place]

    def by_use(self) -> list[tuple[modelspec.ModelSpec, str]]:
        """Return models and data centres that can use another replica.

        Compared is the use of their slots if each got the same number of
        runners; the highest comes first.  Where it is far lower, another
        replica would stay idle, and take runners that others can use once
        one more is free.
        """
        models = self._spec.model_by_name
        largest = max(model.size for model in models.values())
        use_by_place = {
            place: self.use(
                place.model,
                place.datacentre,
                -(largest // models[place.model].size),
            )
            for place in self._wanted_by_place
        }
        least = _MIN_USE_RATIO * max(use_by_place.values(), default=0.0)
        return [
            (models[place.model], place.datacentre)
            for place, use in sorted(
                use_by_place.items(), key=lambda item: (-item[1], item[0])
            )
            if use >= least
        ]

    def larger_short(
        self, size: int, datacentre: str
    ) -> modelspec.ModelSpec | None:
        """Return the largest model that a data centre lacks, if any.

        :param size: runners of a replica; only larger models count.
        :param datacentre: the data centre.
        """
        lacking = [
            model
            for model in self._spec.model_by_name.values()
            if model.size > size and self.missing(model.name, datacentre) > 0
        ]
        return max(lacking, key=lambda m: (m.size, m.name), default=None)

    def may_lose(
        self, model: str, datacentre: str, count: int, wanted: bool = False
    ) -> bool:
        """Return whether enough replicas are left without some.

        :param model: their model.
        :param datacentre: their data centre.
        :param count: how many are lost.
        :param wanted: whether those that cover repairs are to be left, too.
        """
        place = wants_.Place(model, datacentre)
        least_by_place = (
            self._wanted_by_place if wanted else self._needed_by_place
        )
        left = self._count_by_place[place] - count
        return left >= least_by_place.get(place, 0)

    def may_lose_anywhere(self, model: str, count: int) -> bool:
        """Return whether enough replicas are left in all data centres.

        :param model: their model.
        :param count: how many are lost.
        """
        left = -count
        for place, needed in self._needed_by_place.items():
            if place.model == model:
                left += self._count_by_place[place] - needed
        return left >= 0

    def use(self, model: str, datacentre: str, closed: int = 0) -> float:
        """Return the use of the slots of a model in a data centre.

        :param model: the model.
        :param datacentre: the data centre.
        :param closed: replicas that count as closed, or added if negative.
        """
        place = wants_.Place(model, datacentre)
        return self._wants.use(place, self._count_by_place[place] - closed)


def has_unlike_sizes(models: Iterable[modelspec.ModelSpec]) -> bool:
    """Return whether replicas of some models are far larger than of others.

    A replica of up to three times the size is formed of few others, which the
    use of slots over the whole service decides.  One of few runners seldom
    loses one, so that small replicas need not make room for its repair.

    :param models: the models of a service.
    """
    sizes = [model.size for model in models]
    if not sizes or max(sizes) < _MIN_LARGE_SIZE:
        return False
    return max(sizes) >= _MIN_SIZE_RATIO * min(sizes)
