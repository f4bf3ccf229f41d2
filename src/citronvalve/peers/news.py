"""What daemons of one fleet tell each other about the platform."""

import msgspec

from citronvalve.model import clock
from citronvalve.storage import rows


class Told(msgspec.Struct, array_like=True, frozen=True):
    """How far the sender has read a table, and when that was known."""

    table: str
    revision: int
    age: clock.Ms


class Hello(msgspec.Struct, tag="hello", array_like=True, frozen=True):
    """The sender has started and listens at ``address``."""

    name: str
    address: str


class Beat(msgspec.Struct, tag="beat", array_like=True, frozen=True):
    """The sender leads by ``lease`` and reads the platform for the others."""

    name: str
    lease: int
    tables: tuple[Told, ...]


class Changes(msgspec.Struct, tag="changes", array_like=True, frozen=True):
    """Rows of a table that changed after ``base`` and up to ``revision``."""

    lease: int
    table: str
    base: int
    revision: int
    rows: tuple[rows.Row, ...]
    gone: tuple[str, ...]


class Crash(msgspec.Struct, tag="crash", array_like=True, frozen=True):
    """An upstream was lost while it ran a request."""

    fingerprint: str
    upstream: str


class Loads(msgspec.Struct, tag="loads", array_like=True, frozen=True):
    """The sender's own requests by upstream: how many, and how many late."""

    name: str
    by_upstream: dict[str, tuple[int, int]]


class Standstill(
    msgspec.Struct, tag="standstill", array_like=True, frozen=True
):
    """Nothing comes from an upstream any more, on any connection."""

    upstream: str


News = Hello | Beat | Changes | Crash | Loads | Standstill
