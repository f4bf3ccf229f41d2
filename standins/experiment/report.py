"""What callers saw, in figures."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import statistics
from typing import Any

from standins.experiment import plan as plans
from standins.experiment import sample

_CENT = 100


def report(plan: plans.Plan, samples: list[sample.Sample]) -> dict[str, Any]:
    """Return the figures of an experiment.

    :param plan: what was done.
    :param samples: what every request came to.
    """
    whole = [one for one in samples if one.whole]
    on_time = [one for one in whole if one.took <= plan.deadline]
    refused = [one for one in samples if one.status >= 400]
    kinds = collections.Counter(one.kind for one in samples if one.kind)
    return {
        "name": plan.name,
        "sent": len(samples),
        "whole_on_time_share": _share(len(on_time), len(samples)),
        "whole_but_wrong": sum(not one.right for one in whole),
        "whole_but_late": len(whole) - len(on_time),
        "first_token_ms": _quantiles(one.first for one in whole),
        "longest_gap_ms": _quantiles(one.gap for one in whole),
        "took_ms": _quantiles(one.took for one in whole),
        "refused_after_ms": _quantiles(one.took for one in refused),
        "ended_otherwise": dict(kinds),
        "on_time_share_by_team": _by_team(plan, samples, on_time),
        "on_time_share_by_second": _by_second(samples, on_time),
    }


def _by_team(
    plan: plans.Plan,
    samples: list[sample.Sample],
    on_time: list[sample.Sample],
) -> dict[str, float]:
    sent = collections.Counter(one.team for one in samples)
    good = collections.Counter(one.team for one in on_time)
    return {t.name: _share(good[t.name], sent[t.name]) for t in plan.teams}


def _by_second(
    samples: list[sample.Sample], on_time: list[sample.Sample]
) -> list[float]:
    second: Callable[[sample.Sample], int] = lambda one: int(one.at // 1_000)
    sent = collections.Counter(map(second, samples))
    good = collections.Counter(map(second, on_time))
    return [_share(good[n], sent[n]) for n in range(max(sent, default=-1) + 1)]


def _quantiles(values: Iterable[float]) -> dict[str, float]:
    listed = sorted(values)
    if len(listed) < 2:
        return {}
    cut = statistics.quantiles(listed, n=_CENT, method="inclusive")
    return {
        "p50": round(cut[49], 1),
        "p95": round(cut[94], 1),
        "p99": round(cut[98], 1),
    }


def _share(part: int, whole: int) -> float:
    return round(part / whole, 4) if whole else 1.0
