"""Whether work that arrives now can finish by its deadline."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import fairshare

#: Share of the predicted rate that promises are made on.  The rest covers
#: answers that run long.
_USABLE_RATE_SHARE = 0.9


#: Share of its slack that work may be made to wait.  A queue filled up to
#: the deadlines has nothing left for work that runs long or comes after.
_MAX_WAIT_SHARE = 0.6

#: Share of what is left of its slack that later arrivals may use up.
_USABLE_SLACK_SHARE = 0.8

#: Longest wait in times of the mean service time.  A deeper queue serves
#: no more under lasting load; it only makes everyone in it wait.
_MAX_WAIT_IN_SERVICE_TIMES = 4


class Supply(NamedTuple):
    """What this daemon can serve of a model.

    ``slots`` is for all teams, ``rate`` for the team in question, and
    ``typical`` is the mean service time in ms of what arrives, ``started``
    of what was started, and ``margin`` what waits have lately exceeded
    their prediction by.
    """

    slots: float
    team_slots: float
    mean_arriving: clock.Ms
    mean_started: clock.Ms
    margin: clock.Ms = 0


class Forecast(NamedTuple):
    """When work would start; ``fits`` tells whether it may be accepted."""

    wait: clock.Ms
    fits: bool


def forecast(
    queue: fairshare.FairQueue,
    item: fairshare.QueuedRequest,
    supply: Supply,
    now: clock.Ms,
) -> Forecast:
    """Predict the wait, and whether all promises can still be kept.

    Made for callers who cannot try twice: work that can't finish is refused
    while there is time to go elsewhere, instead of taking a slot from work
    that can.  Work already accepted comes first: a new request that would
    push an accepted one of its team past its deadline is refused.

    :param queue: what waits for the same model.
    :param item: the new work.
    :param supply: what is there to serve it.
    :param now: monotonic ms.
    """
    if supply.slots <= 0 or supply.team_slots <= 0:
        return Forecast(0, False)
    team_queue = queue.items_of(item.team)
    rate = supply.team_slots * _USABLE_RATE_SHARE
    first_slot = supply.mean_started / supply.slots
    ahead = 0
    position = 0
    for position, other in enumerate(team_queue, 1):
        if other > item:
            position -= 1
            break
        ahead += other.cost
    total_wait = queue.cost / (supply.slots * _USABLE_RATE_SHARE)
    wait = round(first_slot + min(ahead / rate, total_wait))
    slack = item.deadline - now - item.bound
    # A team with nothing waiting has the next slot, and nobody after it can
    # take that; only its own queue makes a wait uncertain.
    max_wait = (
        min(
            slack * _MAX_WAIT_SHARE,
            supply.mean_arriving * _MAX_WAIT_IN_SERVICE_TIMES,
        )
        if team_queue
        else slack
    )
    if wait + supply.margin > max_wait:
        return Forecast(wait, False)
    ahead += item.cost
    for other in team_queue[position:]:
        # Part of the slack is kept: what comes after takes more of it.
        spare = (other.deadline - now - other.bound) * _USABLE_SLACK_SHARE
        if first_slot + ahead / rate > spare:
            return Forecast(wait, False)
        ahead += other.cost
    return Forecast(wait, True)
