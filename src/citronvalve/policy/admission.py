"""Admission: whether a new request can finish by its deadline."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import fairshare

#: Usable share of the predicted rate.  The rest covers answers that take
#: longer than expected.
_USABLE_RATE_SHARE = 0.9


#: Largest share of its slack that a request may wait.  A queue filled up to
#: the deadlines has no reserve for long answers or later arrivals.
_MAX_WAIT_SHARE = 0.6

#: Share of a queued request's remaining slack that later arrivals may use.
_USABLE_SLACK_SHARE = 0.8

#: Longest wait as a multiple of the mean service time.  Under lasting load
#: a longer queue only adds to the wait, not to the throughput.
_MAX_WAIT_IN_SERVICE_TIMES = 4


class Supply(NamedTuple):
    """What this daemon can serve of a model.

    ``slots`` counts those for all teams, and ``team_slots`` those that the
    team can rely on.  ``mean_arriving`` and ``mean_started`` are the mean
    service times in ms of arriving and of started requests.  ``margin``
    covers the recent error of predicted waits.
    """

    slots: float
    team_slots: float
    mean_arriving: clock.Ms
    mean_started: clock.Ms
    margin: clock.Ms = 0


class Forecast(NamedTuple):
    """The predicted wait, and in ``fits`` whether to accept the request."""

    wait: clock.Ms
    fits: bool


def forecast(
    queue: fairshare.FairQueue,
    item: fairshare.QueuedRequest,
    supply: Supply,
    now: clock.Ms,
) -> Forecast:
    """Predict a request's wait, and whether it can be accepted.

    A request that can't finish in time is rejected at once, while its
    caller can still go elsewhere, and takes no slot from one that can.
    Accepted requests have precedence: a new one that would push an accepted
    one of its team past its deadline is rejected.

    :param queue: the queued requests of the same model.
    :param item: the new request.
    :param supply: the capacity that serves them.
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
    # A team with an empty queue gets the next slot, whatever arrives later;
    # only its own queue makes the wait uncertain.
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
        # Keep a part of the slack, since later arrivals take more of it.
        spare = (other.deadline - now - other.bound) * _USABLE_SLACK_SHARE
        if first_slot + ahead / rate > spare:
            return Forecast(wait, False)
        ahead += other.cost
    return Forecast(wait, True)
