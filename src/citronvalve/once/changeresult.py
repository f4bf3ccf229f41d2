"""How a change of a key's row ended."""

from typing import NamedTuple

from citronvalve.model import missing
from citronvalve.once import change as changes
from citronvalve.once import record as records


class Claimed(NamedTuple):
    """The key is claimed; its row has this version."""

    version: int


class ClaimedByOther(NamedTuple):
    """The key has a row of another attempt."""

    record: records.Record


class Applied(NamedTuple):
    """The row says how the dispatch ended, or is gone."""


class ClaimFailed(NamedTuple):
    """The claim was given up before anything was dispatched."""

    reason: missing.Missing


class ChangeResult(NamedTuple):
    """One change and its end."""

    change: changes.Change
    outcome: Claimed | ClaimedByOther | Applied | ClaimFailed
