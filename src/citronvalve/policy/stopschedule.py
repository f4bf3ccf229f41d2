"""When a daemon that was asked to stop does what."""

from typing import NamedTuple

from citronvalve.model import clock

#: The balancer checks once a second and removes a daemon after two failures.
_LISTEN_TIME: clock.Ms = 2_700

#: A caller whose connection was accepted last has this long to send its
#: request.
FIRST_REQUEST_TIME: clock.Ms = 300

#: The process ends by this much before its grace does, or by a part 1 / n of
#: the grace if that is less.
_MARGIN: clock.Ms = 300
_MARGIN_PART = 10


class StopSchedule(NamedTuple):
    """The times of a stop, in monotonic ms.

    ``listens_until``: new connections are accepted, and open ones are kept.
    ``takes_until``: a request that has been read by then is served.
    ``ends_at``: the process exits, whatever is in progress.
    """

    listens_until: clock.Ms
    takes_until: clock.Ms
    ends_at: clock.Ms


def plan(now: clock.Ms, grace: clock.Ms) -> StopSchedule:
    """Return the times of a stop.

    At least half of the time is left for requests in progress.

    :param now: monotonic ms of the request to stop.
    :param grace: ms after which the process is killed.
    """
    ends_at = now + grace - min(_MARGIN, grace // _MARGIN_PART)
    takes_time = min(_LISTEN_TIME + FIRST_REQUEST_TIME, (ends_at - now) // 2)
    listen_time = max(0, takes_time - FIRST_REQUEST_TIME)
    return StopSchedule(now + listen_time, now + takes_time, ends_at)
