"""Result of a change of the row of a key."""

from typing import NamedTuple

from citronvalve.model import missing
from citronvalve.once import change as changes
from citronvalve.once import record as records


class Claimed(NamedTuple):
    """The claim succeeded; ``version`` is the version of the row."""

    version: int


class ClaimedByOther(NamedTuple):
    """The key already has a row of another attempt."""

    record: records.Record


class Applied(NamedTuple):
    """The outcome is recorded, or the row no longer exists."""


class ClaimFailed(NamedTuple):
    """The claim was abandoned; nothing was dispatched."""

    reason: missing.Missing


class ChangeResult(NamedTuple):
    """A change and its outcome."""

    change: changes.Change
    outcome: Claimed | ClaimedByOther | Applied | ClaimFailed
