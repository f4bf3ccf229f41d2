"""Which replicas give way to one that their data centre lacks."""

from collections.abc import Iterable
from typing import NamedTuple

from citronvalve.replicas import layout as layouts
from citronvalve.replicas import membership
from citronvalve.routes import modelspec

#: Larger replicas that only cover a repair, or spare callers the way to
#: another data centre, give way once callers of the smaller ones wait: a
#: larger one takes longer to form again.
_MIN_USE_TO_TAKE_COVER = 1.0

#: A model below its need takes replicas that another one needs only if that
#: one then has at most this part of its use, so that the next plan does not
#: undo it.
_MAX_DONOR_SHARE = 0.9


class Candidate(NamedTuple):
    """Replicas whose members, with the free ones, form another model's."""

    domain: str
    donor: modelspec.ModelSpec
    keys: tuple[membership.GroupKey, ...]
    free: int


def best(
    layout: layouts.Layout,
    model: modelspec.ModelSpec,
    datacentre: str,
    candidates: Iterable[Candidate],
) -> Candidate | None:
    """Return the exchange that closes the fewest replicas, if any.

    If the data centre does not lack the model, only those count that complete
    what is left of a larger replica.

    :param layout: what there is and what is wanted.
    :param model: the model that gets a replica.
    :param datacentre: the data centre.
    :param candidates: possible exchanges of its domains.
    """
    possible = [
        candidate
        for candidate in candidates
        if candidate.keys and _may(layout, model, datacentre, candidate)
    ]
    return min(
        possible, key=lambda one: (len(one.keys), one.domain), default=None
    )


def _may(
    layout: layouts.Layout,
    model: modelspec.ModelSpec,
    datacentre: str,
    candidate: Candidate,
) -> bool:
    donor, closed = candidate.donor.name, len(candidate.keys)
    use = layout.use(model.name, datacentre)
    lacks = layout.missing(model.name, datacentre) > 0
    if candidate.donor.size > model.size:
        # Few requests of the larger model are served well elsewhere, too.
        is_cover = layout.may_lose_anywhere(donor, closed)
        is_beyond = layout.may_lose(donor, datacentre, closed, wanted=True)
        waits = use >= _MIN_USE_TO_TAKE_COVER
        return lacks and (is_beyond or (is_cover and waits))
    if not lacks:
        return (
            2 * candidate.free >= model.size
            and layout.may_lose(donor, datacentre, closed, wanted=True)
            and layout.use(donor, datacentre, closed) <= use
        )
    if layout.may_lose(donor, datacentre, closed, wanted=True):
        return True
    if layout.may_lose(model.name, datacentre, 0):
        # Its need is met; what covers a repair takes nothing wanted.
        return False
    if layout.may_lose(donor, datacentre, closed):
        return True
    limit = _MAX_DONOR_SHARE * use
    return layout.use(donor, datacentre, closed) <= limit
