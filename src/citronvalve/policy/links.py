"""Whether this VM's own links to the upstreams work."""

import enum
from typing import NamedTuple

from citronvalve.model import clock

#: Upstreams to which the link is lost, with no connection opened in between,
#: that show a loss of all links.
_LOST_TO_CUT = 2

#: Connections opened in a row that show that the links are back.
_OPENED_TO_RETURN = 2

#: Links that are lost again within this time after their return have to open
#: twice as many connections, up to the maximum: flapping links would cost
#: callers a failed connection at each turn.
_FLAP_WINDOW: clock.Ms = 10_000
_MAX_OPENED_TO_RETURN = 8

#: Time for which a single lost upstream is not connected to directly, doubled
#: at each loss in a row.
_FIRST_WAIT: clock.Ms = 1_000
_MAX_WAIT: clock.Ms = 8_000

#: Data from any upstream within this time shows that links work.
_HEARD_WINDOW: clock.Ms = 300


class State(enum.Enum):
    """States of the links as a whole."""

    SOUND = "sound"
    #: No upstream is connected to directly.
    CUT = "cut"


class Event(enum.Enum):
    """Events that may change the state."""

    ENOUGH_LOST = "enough lost"
    ENOUGH_OPENED = "enough opened"


_NEXT_STATE: dict[tuple[State, Event], State] = {
    (State.SOUND, Event.ENOUGH_LOST): State.CUT,
    (State.SOUND, Event.ENOUGH_OPENED): State.SOUND,
    (State.CUT, Event.ENOUGH_LOST): State.CUT,
    (State.CUT, Event.ENOUGH_OPENED): State.SOUND,
}


class _Loss(NamedTuple):
    """A lost upstream: until when it counts, and for how long."""

    until: clock.Ms
    wait: clock.Ms


class Links:
    """Tells lost links from lost upstreams.

    A connection that fails says nothing by itself.  That another VM reaches
    the same upstream at the same time shows that the link is lost, and not
    the upstream; where all VMs have lost their links, none can tell, and the
    link counts as lost as well.  One such upstream may have dropped a
    connection; two with no connection opened in between show that all links
    are lost, if one is of this VM's data centre and one is not: a data centre
    that is cut off from the others reaches its own upstreams.

    :param datacentre: this VM's data centre.
    :ivar state: of the links as a whole.
    :ivar changed_at: monotonic ms of the last change of the state, or None.
    """

    def __init__(self, datacentre: str) -> None:
        self._datacentre = datacentre
        self.state = State.SOUND
        self.changed_at: clock.Ms | None = None
        self._loss_by_upstream: dict[str, _Loss] = {}
        self._lost_in_a_row: dict[str, str] = {}
        self._opened_in_a_row = 0
        self._opened_to_return = _OPENED_TO_RETURN
        self._heard_at: clock.Ms | None = None

    @property
    def is_cut(self) -> bool:
        """Return whether all links are lost."""
        return self.state is State.CUT

    def is_lost(self, upstream: str, now: clock.Ms) -> bool:
        """Return whether an upstream can't be connected to directly.

        :param upstream: its id.
        :param now: monotonic ms.
        """
        if self.is_cut:
            return True
        loss = self._loss_by_upstream.get(upstream)
        return loss is not None and loss.until > now

    def is_heard(self, now: clock.Ms) -> bool:
        """Return whether an upstream sent something just now.

        :param now: monotonic ms.
        """
        at = self._heard_at
        return at is not None and now - at < _HEARD_WINDOW

    def record_heard(self, now: clock.Ms) -> None:
        """Record that an upstream sent something on a direct connection.

        :param now: monotonic ms.
        """
        self._heard_at = now

    def record_opened(self, upstream: str, now: clock.Ms) -> None:
        """Record that a direct connection was opened.

        :param upstream: the upstream's id.
        :param now: monotonic ms.
        """
        self._loss_by_upstream.pop(upstream, None)
        self._lost_in_a_row.clear()
        self._opened_in_a_row += 1
        if self._opened_in_a_row >= self._opened_to_return:
            self._move(Event.ENOUGH_OPENED, now)

    def record_failed(self) -> None:
        """Record that a direct connection was not opened."""
        self._opened_in_a_row = 0

    def record_lost(
        self,
        upstream: str,
        datacentre: str,
        datacentres: set[str],
        now: clock.Ms,
    ) -> None:
        """Record that the link to an upstream is lost.

        :param upstream: the upstream's id.
        :param datacentre: where it is.
        :param datacentres: all data centres with upstreams.
        :param now: monotonic ms.
        """
        known = self._loss_by_upstream.get(upstream)
        wait = min(2 * known.wait, _MAX_WAIT) if known else _FIRST_WAIT
        self._loss_by_upstream[upstream] = _Loss(now + wait, wait)
        self._lost_in_a_row[upstream] = datacentre
        if len(self._lost_in_a_row) >= _LOST_TO_CUT and self._is_everywhere(
            datacentres
        ):
            self._move(Event.ENOUGH_LOST, now)

    def _is_everywhere(self, datacentres: set[str]) -> bool:
        """Return whether the last losses were here and elsewhere."""
        lost = set(self._lost_in_a_row.values())
        others = datacentres - {self._datacentre}
        is_here = self._datacentre in lost
        is_elsewhere = bool(lost - {self._datacentre})
        return (is_here or self._datacentre not in datacentres) and (
            is_elsewhere or not others
        )

    def _move(self, event: Event, now: clock.Ms) -> None:
        old, self.state = self.state, _NEXT_STATE[self.state, event]
        if old is self.state:
            return
        if self.is_cut:
            self._set_opened_to_return(now)
            self._opened_in_a_row = 0
        else:
            self._loss_by_upstream.clear()
        self.changed_at = now

    def _set_opened_to_return(self, now: clock.Ms) -> None:
        flaps = (
            self.changed_at is not None
            and now - self.changed_at < _FLAP_WINDOW
        )
        self._opened_to_return = (
            min(2 * self._opened_to_return, _MAX_OPENED_TO_RETURN)
            if flaps
            else _OPENED_TO_RETURN
        )
