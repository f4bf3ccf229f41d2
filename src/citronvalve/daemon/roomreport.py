"""Shows operators how evenly replicas are used, in metrics and log."""

import collections
from typing import NamedTuple

from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.policy import roomuse
from citronvalve.policy import upstreamchoice

#: Least time between two log lines of a model in a data centre.
_LOG_INTERVAL: clock.Ms = 10 * clock.SECOND


#: Names and descriptions, in the order of a use's fields.
_GAUGES = (
    ("room_replicas", "Open replicas."),
    ("room_used_ratio", "Mean use of replicas' slots."),
    (
        "room_used_deviation_ratio",
        "Standard deviation of the use between replicas.",
    ),
)


class _Place(NamedTuple):
    service: str
    model: str
    datacentre: str


class _Shown(NamedTuple):
    use: roomuse.RoomUse
    at: clock.Ms


class RoomReport:
    """Measures the use of replicas by model and data centre.

    :param env: the daemon's environment.
    :param directory: the upstreams.
    :param loads: the upstreams' loads.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
        loads: upstreamchoice.LoadTable,
    ) -> None:
        self._env = env
        self._directory = directory
        self._loads = loads
        self._shown_by_place: dict[_Place, _Shown] = {}
        for name, doc in _GAUGES:
            env.metrics.declare_gauge(name, doc)

    def update(self) -> None:
        """Set the gauges, and log what has changed."""
        now = self._env.clock.now()
        age = self._loads.remote_loads.since_newest(now)
        self._env.metrics.set_gauge(
            "load_reports_age_seconds",
            "Since other daemons' requests were last reported.",
            age / clock.SECOND,
        )
        use_by_place = self._measure(now)
        for place, use in use_by_place.items():
            self._set_gauges(place, use)
            self._log(place, use, age, now)
        for gone in self._shown_by_place.keys() - use_by_place.keys():
            self._set_gauges(gone, roomuse.measure((), 0))
            del self._shown_by_place[gone]

    def _measure(self, now: clock.Ms) -> dict[_Place, roomuse.RoomUse]:
        loads_by_place = collections.defaultdict(list)
        slots_by_place = {}
        for (service, model), heads in self._directory.heads_by_model():
            for head in heads:
                runner = self._directory.runner_by_id[head.upstream]
                place = _Place(service, model, runner.datacentre)
                load = self._loads.of(head.upstream).total(now)
                loads_by_place[place].append(load)
                slots_by_place[place] = self._directory.slots(service, runner)
        return {
            place: roomuse.measure(loads, slots_by_place[place])
            for place, loads in loads_by_place.items()
        }

    def _set_gauges(self, place: _Place, use: roomuse.RoomUse) -> None:
        labels = place._asdict()
        for (name, doc), value in zip(_GAUGES, use, strict=True):
            self._env.metrics.set_gauge(name, doc, value, labels)

    def _log(
        self,
        place: _Place,
        use: roomuse.RoomUse,
        age: clock.Ms,
        now: clock.Ms,
    ) -> None:
        shown = self._shown_by_place.get(place)
        if shown is not None and now - shown.at < _LOG_INTERVAL:
            return
        if not roomuse.is_news(shown and shown.use, use):
            return
        self._shown_by_place[place] = _Shown(use, now)
        self._env.log.change(
            "room used",
            service=place.service,
            model=place.model,
            datacentre=place.datacentre,
            replicas=use.replicas,
            used=round(use.mean, 2),
            deviation=round(use.deviation, 2),
            reports_ms=age,
        )
