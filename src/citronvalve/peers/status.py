"""A daemon's view of its peers, for operators and metrics."""

from typing import NamedTuple

from citronvalve.model import clock


class DatacentreStatus(NamedTuple):
    """State of another data centre; ``age`` is that of its summary in ms."""

    datacentre: str
    age: clock.Ms
    members: int
    version: int


class PeerStatus(NamedTuple):
    """A daemon's view of its peers.

    ``acting``: whether it may coordinate, watch and lend.  ``watcher``:
    whether it reads the platform's table.  ``rejoins``: how often it was
    declared dead or paused.
    """

    name: str
    datacentre: str
    incarnation: int
    acting: bool
    watcher: bool
    rejoins: int
    alive: tuple[str, ...]
    suspect: tuple[str, ...]
    dead: tuple[str, ...]
    far: tuple[DatacentreStatus, ...]
    table_version: int
    table_digest: str
    silent: tuple[str, ...]
    pages_refused: int
    loads: int
    dropped_by_reason: dict[str, int]
