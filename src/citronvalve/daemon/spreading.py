"""How a version of the table that was read gets to the other daemons."""

import abc
from collections.abc import Callable

from citronvalve.table import delta as deltas


class Spreading(abc.ABC):
    """The way of table deltas between the daemons.

    :ivar on_delta: called with each delta that is to come into force here,
        from the platform or from a peer.
    """

    def __init__(self) -> None:
        self.on_delta: Callable[[deltas.Delta], None] = lambda delta: None

    @abc.abstractmethod
    def is_watcher(self) -> bool:
        """Tell whether this daemon looks at the platform for others."""

    @abc.abstractmethod
    def offer(self, delta: deltas.Delta) -> None:
        """Take in a delta that this daemon read; it may be an old one.

        :param delta: from the platform.
        """


class Alone(Spreading):
    """A daemon that looks for itself and tells nobody."""

    def is_watcher(self) -> bool:
        return True

    def offer(self, delta: deltas.Delta) -> None:
        self.on_delta(delta)
