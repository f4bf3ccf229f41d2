"""What load reports tell of requests beside their number."""

from collections.abc import Iterable
from typing import NamedTuple


class LoadDetails(NamedTuple):
    """Details of requests at upstreams.

    ``use_by_pool`` counts requests by team in each replica pool; it is empty
    while that is switched off.
    """

    use_by_pool: dict[str, dict[str, int]]


#: Without details, as from an older release.
NONE = LoadDetails({})


def total(details: Iterable[LoadDetails]) -> LoadDetails:
    """Return the sum of details.

    :param details: of several daemons.
    """
    use_by_pool: dict[str, dict[str, int]] = {}
    for one in details:
        _add_use(use_by_pool, one.use_by_pool, 1)
    return LoadDetails(use_by_pool)


def difference(whole: LoadDetails, part: LoadDetails) -> LoadDetails:
    """Return a sum without one of its parts.

    :param whole: the sum.
    :param part: details that it includes.
    """
    remaining = total([whole])
    _add_use(remaining.use_by_pool, part.use_by_pool, -1)
    return remaining


def _add(to: dict[str, int], other: dict[str, int], factor: int) -> None:
    for key, number in other.items():
        to[key] = to.get(key, 0) + factor * number


def _add_use(
    to: dict[str, dict[str, int]],
    other: dict[str, dict[str, int]],
    factor: int,
) -> None:
    for pool, use_by_team in other.items():
        _add(to.setdefault(pool, {}), use_by_team, factor)
