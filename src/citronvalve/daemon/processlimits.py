"""How many connections a process accepts on each port."""

import resource

#: Descriptors for files, upstreams, other daemons and the store, where only
#: the process's own limit is known.
_OTHERS = 200

#: Most connections of callers where the settings name no number.
_MAX_CALLERS = 10_000

#: Connections of callers for each that is relayed, and the least of these.
_CALLERS_PER_RELAYED = 8
_MIN_RELAYED = 32
_MAX_RELAYED = 256


def callers(configured: int) -> int:
    """Return how many connections of callers may be open.

    :param configured: by the settings, 0 if they name no number.
    """
    if configured:
        return configured
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return _MAX_CALLERS
    return min(max(_OTHERS, limit - _OTHERS) // 2, _MAX_CALLERS)


def relayed(configured: int) -> int:
    """Return how many connections of other daemons may be open.

    :param configured: connections of callers by the settings, 0 if they name
        no number.
    """
    wanted = callers(configured) // _CALLERS_PER_RELAYED
    return min(max(wanted, _MIN_RELAYED), _MAX_RELAYED)
