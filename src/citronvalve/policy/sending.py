"""How long an upstream may take to read a request, and what it may do then."""

from citronvalve.model import clock

#: A link is shared: a request may take this multiple of the time that it
#: takes alone.
_LINK_SHARE = 4

#: Part of the time left that sending may take; another upstream needs the
#: rest.
_PART_OF_REST = 0.5

#: The least time, for a pause of the upstream.
_LEAST: clock.Ms = 200


def time_allowed(
    size: int, objective: clock.Ms, remaining: clock.Ms, link: float
) -> clock.Ms:
    """Return the ms after which a request is sent to another upstream.

    :param size: bytes of the request.
    :param objective: latency objective in ms.
    :param remaining: ms to the deadline as the sending begins.
    :param link: bytes per ms of this VM's link, 0 if that is not known.
    """
    own_part = _LINK_SHARE * size / link if link else 0.0
    usual = max(_LEAST, objective, round(own_part))
    return min(usual, round(remaining * _PART_OF_REST))


def may_run(handed: int, head: int) -> bool:
    """Return whether an upstream may run a request that was sent in part.

    It may begin before it has read the whole body, but not without the head.

    :param handed: bytes that were handed to the kernel.
    :param head: bytes of the head.
    """
    return handed >= head
