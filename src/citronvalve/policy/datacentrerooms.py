"""What one daemon knows of the room in other data centres."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple
import weakref

from citronvalve.model import clock
from citronvalve.policy import enginepace
from citronvalve.policy import roomloss
from citronvalve.policy import upstreamchoice

#: A measurement is used again for this time.
_VALIDITY: clock.Ms = 50

#: A data centre that comes back gets its whole part after this time: its
#: replicas are cold, and all daemons see them free at once.
_RETURN_TIME: clock.Ms = 3_000

#: Part of a data centre's replicas that must be available.
_LEAST_AVAILABLE = 0.5


class Elsewhere(NamedTuple):
    """The room in another data centre.

    ``loss`` is what callers lose there, ``latency`` the one-way time to it in
    ms.  ``trust`` grows to 1 while it comes back, and ``remaining`` are the
    slots that it has for others.
    """

    loss: float
    latency: float
    trust: float
    remaining: float


#: Returns some of the candidates.
Sample = Callable[
    [Sequence[upstreamchoice.Candidate]],
    Sequence[upstreamchoice.Candidate],
]


class _Known(NamedTuple):
    at: clock.Ms
    loss: float
    elsewhere: dict[str, Elsewhere]
    since_by_datacentre: dict[str, float]


class DatacentreRooms:
    """Measures the room of models by data centre.

    A data centre of which most replicas are unavailable is cut off and has
    no room; when it comes back its room counts little by little.

    :param loads: the loads.
    :param sample: returns the candidates to look at.
    """

    def __init__(
        self, loads: upstreamchoice.LoadTable, sample: Sample
    ) -> None:
        self._loads = loads
        self._sample = sample
        self._known_by_pace: weakref.WeakKeyDictionary[
            enginepace.EnginePace, _Known
        ] = weakref.WeakKeyDictionary()

    def here(
        self,
        candidates: Sequence[upstreamchoice.Candidate],
        pace: enginepace.EnginePace,
        renewed: float,
        now: clock.Ms,
    ) -> float:
        """Return what callers lose in the daemon's data centre.

        :param candidates: the open replicas of a model.
        :param pace: predicts the model's latency.
        :param renewed: part of the taken slots that others renew unseen.
        :param now: monotonic ms.
        """
        known = self._known_by_pace.get(pace)
        if known is None or now - known.at >= _VALIDITY:
            known = self._measure(candidates, pace, renewed, now, known)
            self._known_by_pace[pace] = known
        return known.loss

    def elsewhere(
        self, pace: enginepace.EnginePace
    ) -> Mapping[str, Elsewhere]:
        """Return the room of other data centres as of the last measurement.

        :param pace: predicts the model's latency.
        """
        return self._known_by_pace[pace].elsewhere

    def _measure(
        self,
        candidates: Sequence[upstreamchoice.Candidate],
        pace: enginepace.EnginePace,
        renewed: float,
        now: clock.Ms,
        before: _Known | None,
    ) -> _Known:
        by_datacentre: dict[str, list[upstreamchoice.Candidate]] = {}
        local = []
        for candidate in candidates:
            if candidate.is_local:
                local.append(candidate)
            else:
                by_datacentre.setdefault(candidate.datacentre, []).append(
                    candidate
                )
        here = self._room(local, pace, now) or roomloss.NONE
        loss = roomloss.loss(here, renewed)
        elsewhere = {}
        since_by_datacentre = {}
        for datacentre, remote in by_datacentre.items():
            room = self._room(remote, pace, now)
            if room is None:
                continue
            since = _since(before, datacentre, now)
            since_by_datacentre[datacentre] = since
            trust = min(1.0, (now - since) / _RETURN_TIME)
            elsewhere[datacentre] = Elsewhere(
                roomloss.loss(room, renewed),
                remote[0].latency,
                trust,
                trust * roomloss.remaining(room, renewed),
            )
        return _Known(now, loss, elsewhere, since_by_datacentre)

    def _room(
        self,
        candidates: Sequence[upstreamchoice.Candidate],
        pace: enginepace.EnginePace,
        now: clock.Ms,
    ) -> roomloss.Room | None:
        """Return the room of replicas, None if most are unavailable."""
        sample = self._sample(candidates)
        loads = [self._loads.of(candidate.upstream) for candidate in sample]
        available = [
            load.total(now)
            for load in loads
            if upstreamchoice.is_available(load, now)
        ]
        if not sample or len(available) < _LEAST_AVAILABLE * len(sample):
            return None
        room = roomloss.measure(available, pace.slots)
        scale = len(candidates) / len(sample)
        return roomloss.Room(room.taken * scale, room.free * scale)


def _since(before: _Known | None, datacentre: str, now: clock.Ms) -> float:
    """Return since when a data centre has been there."""
    if before is None:
        return -math.inf
    return before.since_by_datacentre.get(datacentre, float(now))
