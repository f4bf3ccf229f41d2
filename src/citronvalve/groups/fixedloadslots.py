"""A fixed number of load slots, kept in memory."""

from citronvalve.groups import loadslots
from citronvalve.model import clock
from citronvalve.model import missing

#: Lifetime of a slot that is not renewed.  The leader renews it in every step
#: while the load runs, so it only has to outlast a few missed steps.
_SLOT_LEASE: clock.Ms = 10_000


class FixedLoadSlots(loadslots.LoadSlots):
    """Sufficient as only the lease holder starts loads.

    :param slots: maximum number of concurrent loads.
    :ivar slots: the same; may be changed at any time.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._expires_at_by_load: dict[str, clock.Ms] = {}

    def acquire(
        self, load: str, now: clock.Ms
    ) -> clock.Ms | missing.Unavailable:
        active = {k: t for k, t in self._expires_at_by_load.items() if t > now}
        if load not in active and len(active) >= self.slots:
            return missing.Unavailable("all load slots are in use", load)
        active[load] = now + _SLOT_LEASE
        self._expires_at_by_load = active
        return active[load]
