"""A fixed number of slots for loads, kept by one process."""

from citronvalve.groups import loadslots
from citronvalve.model import clock
from citronvalve.model import missing

#: How long a slot is lent without being renewed.  The leader renews it with
#: every step while the load runs, so that this only has to outlast a few
#: missed steps.
_SLOT_LEASE: clock.Ms = 10_000


class FixedLoadSlots(loadslots.LoadSlots):
    """Enough where only the holder of the lease starts loads.

    :param slots: loads at once; an edit of the table may change it.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._expires_at_by_load: dict[str, clock.Ms] = {}

    def acquire(
        self, load: str, now: clock.Ms
    ) -> clock.Ms | missing.Unavailable:
        active = {k: t for k, t in self._expires_at_by_load.items() if t > now}
        if load not in active and len(active) >= self.slots:
            return missing.Unavailable("all load slots are lent", load)
        active[load] = now + _SLOT_LEASE
        self._expires_at_by_load = active
        return active[load]
