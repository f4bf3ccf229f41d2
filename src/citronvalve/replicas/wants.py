"""How many replicas of each model each data centre asks for."""

import collections
from collections.abc import Mapping
import math
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import slidingcount
from citronvalve.routes import enginespec

#: Chance lets the load of a few requests move within less than this time.
_SMOOTHING_HALF_LIFE: clock.Ms = 1_000

#: A peak loses half its height in this time: rates come back in waves of 10
#: to 15 s, and an exchange should not follow each of them.
_PEAK_HALF_LIFE: clock.Ms = 8_000

#: Slots beyond the load, in standard deviations of a Poisson load.
_MARGIN_DEVIATIONS = 2.0

#: Use of the slots above which callers begin to wait.
_MAX_USE = 0.8

#: Losses as old as this still tell how often replicas are lost.
_LOSS_WINDOW: clock.Ms = 20_000

#: From a loss to the replica that takes its place: 1 s until it is certain,
#: and draining, a join and the delay of the list.
_REPAIR_TIME: clock.Ms = 6_000


class Place(NamedTuple):
    """A model in a data centre."""

    model: str
    datacentre: str


class _Load(NamedTuple):
    """Requests at the replicas of a place, smoothed, and their peak."""

    smooth: float
    peak: float


class Wants:
    """Derives wanted replicas from the load at each place and from losses.

    The load is followed by its decaying peak, so that a trough of a wave
    closes nothing that the next crest needs.

    :param spec: engine settings of the service.
    """

    def __init__(self, spec: enginespec.EngineSpec) -> None:
        self._spec = spec
        self._load_by_place: dict[Place, _Load] = {}
        self._observed_at: clock.Ms = 0
        self._losses = slidingcount.SlidingCount(_LOSS_WINDOW)

    @property
    def has_load(self) -> bool:
        """Return whether any request has been observed."""
        return any(load.peak > 0 for load in self._load_by_place.values())

    def observe(
        self, load_by_place: Mapping[Place, float], now: clock.Ms
    ) -> None:
        """Update the load of each place.

        :param load_by_place: requests running and queued at its replicas;
            places without a replica may be missing.
        :param now: monotonic ms.
        """
        elapsed = now - self._observed_at
        old_weight = 0.5 ** (elapsed / _SMOOTHING_HALF_LIFE)
        decay = 0.5 ** (elapsed / _PEAK_HALF_LIFE)
        self._observed_at = now
        for place in load_by_place.keys() | self._load_by_place.keys():
            load = load_by_place.get(place, 0.0)
            held = self._load_by_place.get(place, _Load(load, load))
            smooth = old_weight * held.smooth + (1 - old_weight) * load
            peak = max(smooth, decay * held.peak)
            self._load_by_place[place] = _Load(smooth, peak)

    def record_loss(self, now: clock.Ms) -> None:
        """Record that a replica lost a member.

        :param now: monotonic ms.
        """
        self._losses.add(now)

    def needed(self, count_by_place: Mapping[Place, int]) -> dict[Place, int]:
        """Return the fewest replicas with which callers hardly wait.

        :param count_by_place: the replicas there are.  Requests from a data
            centre without one are served elsewhere; its part is that of its
            requests of all models.
        """
        slots = _MAX_USE * self._spec.slots
        return {
            place: math.ceil(self._with_margin(place, count_by_place) / slots)
            for place in self._load_by_place
        }

    def wanted(
        self, needed_by_place: Mapping[Place, int], now: clock.Ms
    ) -> dict[Place, int]:
        """Return the needed replicas and those that cover repairs.

        Each runner is as likely to be lost, so a replica of twice the size
        is lost twice as often.  Callers whose replica is being repaired are
        served in any data centre, so the cover is that of the whole model.

        :param needed_by_place: what `needed` returned.
        :param now: monotonic ms.
        """
        broken = self._losses.count(now) * _REPAIR_TIME / _LOSS_WINDOW
        members_by_model: collections.Counter[str] = collections.Counter()
        for place, count in needed_by_place.items():
            size = self._spec.model_by_name[place.model].size
            members_by_model[place.model] += count * size
        total = max(1, members_by_model.total())
        wanted_by_place = dict(needed_by_place)
        for model, members in members_by_model.items():
            for _ in range(round(broken * members / total)):
                place = self._busiest(model, wanted_by_place)
                wanted_by_place[place] += 1
        return wanted_by_place

    def _busiest(
        self, model: str, count_by_place: Mapping[Place, int]
    ) -> Place:
        places = [place for place in count_by_place if place.model == model]
        return max(
            places,
            key=lambda place: (self.use(place, count_by_place[place]), place),
        )

    def use(self, place: Place, count: int) -> float:
        """Return the use of a place's slots at its peak, with the margin.

        :param place: the place.
        :param count: its replicas; none counts as one.
        """
        load = self._load_by_place.get(place, _Load(0.0, 0.0)).peak
        need = load + _MARGIN_DEVIATIONS * math.sqrt(load)
        return need / (self._spec.slots * max(1, count))

    def _with_margin(
        self, place: Place, count_by_place: Mapping[Place, int]
    ) -> float:
        load = self._load_by_place[place].peak
        if not count_by_place.get(place):
            load = max(load, self._share_elsewhere(place))
        return load + _MARGIN_DEVIATIONS * math.sqrt(load)

    def _share_elsewhere(self, place: Place) -> float:
        here = all_there = of_model = 0.0
        for other, load in self._load_by_place.items():
            all_there += load.smooth
            if other.datacentre == place.datacentre:
                here += load.smooth
            if other.model == place.model:
                of_model += load.smooth
        return of_model * here / all_there if all_there else 0.0
