"""Findings of checks on a configuration."""

from typing import Any
from typing import NamedTuple


class Finding(NamedTuple):
    """What is wrong at a place, and the remedy.

    ``place`` is a row's key, or a row's key, a dot and a column.
    """

    place: str
    what: str
    remedy: str

    def to_dict(self) -> dict[str, Any]:
        """Return the finding as a dictionary for JSON output."""
        return self._asdict()
