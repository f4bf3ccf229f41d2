"""Messages between the daemons of a fleet about the platform."""

import enum

import msgspec

from citronvalve.model import clock
from citronvalve.policy import loaddetails
from citronvalve.storage import rows
from citronvalve.storage import tablestate

#: By upstream id: the number of requests there, and how many are late.
RequestCounts = dict[str, tuple[int, int]]


class Hello(msgspec.Struct, tag="hello", array_like=True, frozen=True):
    """The sender has started and listens at ``address``.

    It relays requests at ``relay``; an older release does not.
    """

    name: str
    address: str
    datacentre: str
    relay: str = ""


class Members(msgspec.Struct, tag="members", array_like=True, frozen=True):
    """All daemons that the leader knows: address and data centre by name.

    ``relay_by_name`` are the addresses at which they relay requests.
    """

    by_name: dict[str, tuple[str, str]]
    relay_by_name: dict[str, str] = {}


class Heartbeat(msgspec.Struct, tag="beat", array_like=True, frozen=True):
    """The sender reads the platform's tables for the others.

    ``lease`` is the version of its leader lease, 0 if it only coordinates a
    data centre; ``daemons`` is how many daemons it knows.  ``sent_at`` is by
    its own monotonic clock, None from an older release.
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

    With ``base`` 0 they are the full table: rows not among them are removed.
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
    """The sender lacks rows of a table and asks for all of them.

    One with an ``address`` has started, or lacks daemons of the list, and
    gets the answer directly; an older release takes it for one that can't
    read the table from the store, as is one without.
    """

    name: str
    table: str
    address: str = ""
    datacentre: str = ""
    relay: str = ""


class TableRows(msgspec.Struct, tag="rows", array_like=True, frozen=True):
    """All rows of a table and its state, sent on request."""

    name: str
    state: tablestate.TableState
    rows: tuple[rows.Row, ...]


class Crash(msgspec.Struct, tag="crash", array_like=True, frozen=True):
    """An upstream was lost while it ran a request, as older releases say."""

    fingerprint: str
    upstream: str


class CrashEvidence(
    msgspec.Struct, tag="crash-evidence", array_like=True, frozen=True
):
    """Losses of upstreams with contents of requests, and proofs.

    ``losses`` are (content, start of the upstream, model, age in ms, whether
    the answer had begun), ``proofs`` (content, model, age in ms); contents,
    starts and models are digests of 64 bits.
    ``is_answer`` says that the sender was asked and this is all it knows.
    """

    name: str
    losses: tuple[tuple[int, int, int, clock.Ms, bool], ...]
    proofs: tuple[tuple[int, int, clock.Ms], ...]
    is_answer: bool = False


class CrashEvidenceRequest(
    msgspec.Struct, tag="crash-evidence-request", array_like=True, frozen=True
):
    """The sender has started or was cut off, and asks for all evidence."""

    name: str
    address: str


class LimitReport(
    msgspec.Struct, tag="upstream-limits", array_like=True, frozen=True
):
    """Rates that upstreams have named, and limits that are over.

    ``limits`` are (upstream, requests per second, ms since it was first
    named, ms since the newest answer that names it), ``ends`` (upstream, ms
    since it had no limit).
    """

    name: str
    limits: tuple[tuple[str, float, clock.Ms, clock.Ms], ...]
    ends: tuple[tuple[str, clock.Ms], ...]


class LeavingUpstreams(
    msgspec.Struct, tag="upstreams-leaving", array_like=True, frozen=True
):
    """Upstreams that have said that they leave, with their starts."""

    name: str
    start_by_upstream: dict[str, int]


class UpstreamRest(
    msgspec.Struct, tag="upstream-rest", array_like=True, frozen=True
):
    """An upstream wants no request from the receiver for ``duration`` ms.

    It has turned away what the receiver relayed for the sender.
    """

    name: str
    upstream: str
    duration: clock.Ms


class Stall(msgspec.Struct, tag="standstill", array_like=True, frozen=True):
    """An upstream sends nothing on any connection."""

    upstream: str


class DaemonLoads(msgspec.Struct, tag="loads", array_like=True, frozen=True):
    """The sender's own requests by upstream.

    ``sequence`` numbers the sender's reports, 0 from an older release.
    """

    name: str
    by_upstream: RequestCounts
    sequence: int = 0
    details: loaddetails.LoadDetails = loaddetails.NONE


class DatacentreLoads(
    msgspec.Struct, tag="totals", array_like=True, frozen=True
):
    """Requests of a data centre's daemons, sent to other data centres.

    ``daemons`` counts those that the sender heard from lately, and itself.
    """

    name: str
    datacentre: str
    daemons: int
    by_upstream: RequestCounts
    details: loaddetails.LoadDetails = loaddetails.NONE


class OtherLoads(msgspec.Struct, tag="digest", array_like=True, frozen=True):
    """A coordinator's sum of all requests, the same for all receivers.

    ``sequence_by_daemon`` names the report of each daemon of the data centre
    that the sum includes.  Without it, as from an older release, the sum is
    without the receiver's own requests.
    """

    name: str
    daemons: int
    by_upstream: RequestCounts
    sequence_by_daemon: dict[str, int] | None = None
    details: loaddetails.LoadDetails = loaddetails.NONE


class Stage(enum.IntEnum):
    """How far a relayed message has come."""

    #: To the coordinator of the sender's data centre.
    UP = 0
    #: To the coordinators of the other data centres.
    ACROSS = 1
    #: To the daemons of a data centre.
    DOWN = 2


Broadcast = (
    Hello
    | Heartbeat
    | TableChanges
    | Crash
    | CrashEvidence
    | LimitReport
    | LeavingUpstreams
    | Stall
)


class Relayed(msgspec.Struct, tag="passed", array_like=True, frozen=True):
    """A broadcast that the coordinators relay to every daemon."""

    sender: str
    stage: Stage
    payload: Broadcast


Message = (
    Broadcast
    | Members
    | CrashEvidenceRequest
    | FullTableRequest
    | TableRows
    | UpstreamRest
    | DaemonLoads
    | DatacentreLoads
    | OtherLoads
    | Relayed
)
