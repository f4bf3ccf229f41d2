"""What daemons of one fleet tell each other about the platform."""

import enum

import msgspec

from citronvalve.model import clock
from citronvalve.storage import rows
from citronvalve.storage import tablestate

#: Requests at an upstream by its id: how many, and how many of them late.
RequestCounts = dict[str, tuple[int, int]]


class Hello(msgspec.Struct, tag="hello", array_like=True, frozen=True):
    """The sender has started and listens at ``address``."""

    name: str
    address: str
    datacentre: str


class Heartbeat(msgspec.Struct, tag="beat", array_like=True, frozen=True):
    """The sender reads the platform for the others.

    ``lease`` is that by which it leads, 0 if it only keeps a data centre;
    ``daemons`` is how many daemons it knows.  ``sent_at`` is by its own
    monotonic clock, None from an older release.
    """

    name: str
    lease: int
    daemons: int
    tables: tuple[tablestate.TableState, ...]
    sent_at: clock.Ms | None = None


class TableChanges(
    msgspec.Struct, tag="changes", array_like=True, frozen=True
):
    """Rows of a table that changed after ``base`` and up to ``revision``.

    With ``base`` 0 they are the whole table: what is not among them is gone.
    ``reader`` is the daemon that read them from the store.
    """

    lease: int
    table: str
    base: int
    revision: int
    rows: tuple[rows.Row, ...]
    removed: tuple[str, ...]
    reader: str = ""


class FullTableRequest(
    msgspec.Struct, tag="whole-request", array_like=True, frozen=True
):
    """The sender lacks updates of a table and can't read it from the store."""

    name: str
    table: str


class Crash(msgspec.Struct, tag="crash", array_like=True, frozen=True):
    """An upstream was lost while it ran a request."""

    fingerprint: str
    upstream: str


class Stall(msgspec.Struct, tag="standstill", array_like=True, frozen=True):
    """Nothing comes from an upstream any more, on any connection."""

    upstream: str


class DaemonLoads(msgspec.Struct, tag="loads", array_like=True, frozen=True):
    """The sender's own requests by upstream."""

    name: str
    by_upstream: RequestCounts


class DatacentreLoads(
    msgspec.Struct, tag="totals", array_like=True, frozen=True
):
    """The requests of a data centre's daemons, told to another one's keeper.

    ``daemons`` are those that the sender has heard lately, with itself.
    """

    name: str
    datacentre: str
    daemons: int
    by_upstream: RequestCounts


class OtherLoads(msgspec.Struct, tag="digest", array_like=True, frozen=True):
    """A keeper's sum of all requests but the receiver's own."""

    name: str
    daemons: int
    by_upstream: RequestCounts


class Stage(enum.IntEnum):
    """How far passed-on news have come."""

    #: To the keeper of the sender's data centre.
    UP = 0
    #: To the keepers of the other data centres.
    ACROSS = 1
    #: To the daemons of a data centre.
    DOWN = 2


Broadcast = Hello | Heartbeat | TableChanges | Crash | Stall


class Relayed(msgspec.Struct, tag="passed", array_like=True, frozen=True):
    """News for every daemon, on their way by the keepers."""

    sender: str
    stage: Stage
    payload: Broadcast


Message = (
    Broadcast
    | FullTableRequest
    | DaemonLoads
    | DatacentreLoads
    | OtherLoads
    | Relayed
)
