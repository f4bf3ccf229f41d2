"""What callers got out of one run."""

import collections
import collections.abc
from typing import NamedTuple

from benchmarks import scenario
from benchmarks import world
from citronvalve.model import clock

#: The first seconds only fill the upstreams and the estimates.
_WARM_UP: clock.Ms = 5_000


class Outcomes(NamedTuple):
    """Shares are of requests, 0 to 1; times are in ms.

    ``goodput``: service time of answers on time over capacity.
    ``light``: on-time share of all teams but the first.
    ``late``: accepted requests that finished late, over accepted.
    ``broken``: accepted requests refused afterwards, over accepted.
    ``fairness``: Jain's index over the teams' on-time share.
    ``wasted``: upstream time that gave no answer on time.
    ``told``: time to the refusal, for refused requests.
    """

    requests: int
    on_time: float
    goodput: float
    light: float
    late: float
    broken: float
    first_token: tuple[clock.Ms, clock.Ms, clock.Ms]
    fairness: float
    wasted: float
    refused: float
    told: clock.Ms
    lost: int
    most_over: int


def of(made: world.World, one: scenario.Scenario) -> Outcomes:
    """Return the outcomes of a run."""
    first, last = made.start + _WARM_UP, made.start + one.span
    records = [r for r in made.records if first <= r.call.at < last]
    good = [r for r in records if r.on_time]
    accepted = [r for r in records if r.accepted]
    refused = [r for r in records if r.refused is not None]
    late = [r for r in accepted if r.done is not None and not r.on_time]
    first_tokens = [
        r.first_token - r.call.at for r in records if r.first_token
    ]
    capacity = scenario.SLOTS * (one.span - _WARM_UP)
    useful = sum(r.call.service for r in made.records if r.on_time)
    busy = sum(target.busy for target in made.upstream_by_name.values())
    targets = made.upstream_by_name.values()
    return Outcomes(
        len(records),
        _share(good, records),
        sum(r.call.service for r in good) / capacity,
        _light(records),
        _share(late, accepted),
        _share([r for r in accepted if r.refused is not None], accepted),
        tuple(percentile(first_tokens, p) for p in (50, 95, 99)),
        _fairness(records),
        max(0.0, 1 - useful / busy) if busy else 0.0,
        _share(refused, records),
        percentile([r.refused - r.call.at for r in refused], 99),
        sum(target.falls for target in targets),
        max(target.most_over for target in targets),
    )


def percentile(values: collections.abc.Iterable[int], p: int) -> int:
    """Return a percentile, or 0 of nothing."""
    ordered = sorted(values)
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, len(ordered) * p // 100)]


def _share(part: list, whole: list) -> float:
    return len(part) / len(whole) if whole else 0.0


def _light(records: list[world.Record]) -> float:
    light = [r for r in records if r.call.item.team != "t0"]
    return _share([r for r in light if r.on_time], light)


def _fairness(records: list[world.Record]) -> float:
    by_team = collections.defaultdict(list)
    for record in records:
        by_team[record.call.item.team].append(record.on_time)
    shares = [sum(seen) / len(seen) for seen in by_team.values()]
    square = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * square) if square else 0.0
