"""Slots that limit concurrent loads from the weight store."""

import abc

from citronvalve.model import clock
from citronvalve.model import missing


class LoadSlots(abc.ABC):
    """Grants slots for a limited time; a slot expires unless renewed."""

    @abc.abstractmethod
    def acquire(
        self, load: str, now: clock.Ms
    ) -> clock.Ms | missing.Unavailable:
        """Acquire a slot, or renew the one that this load holds.

        :param load: name of the load; the same name gets the same slot.
        :param now: monotonic time in ms.
        :return: when the slot expires, in monotonic ms, or why there is none.
        """
