"""Slots for loads from the weight store, shared by a data centre."""

import abc

from citronvalve.model import clock
from citronvalve.model import missing


class LoadSlots(abc.ABC):
    """Lends slots for a time; a slot not renewed is free again."""

    @abc.abstractmethod
    def acquire(
        self, load: str, now: clock.Ms
    ) -> clock.Ms | missing.Unavailable:
        """Borrow a slot, or renew the one this load holds.

        :param load: name of the load; the same name gets the same slot.
        :param now: monotonic time in ms.
        :return: until when the slot is lent, or why there is none.
        """
