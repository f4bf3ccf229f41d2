"""What the engines of a group are to run."""

from typing import NamedTuple


class Wanted(NamedTuple):
    """Model, version, adapter and role, as operators declare them."""

    model: str
    version: str
    adapter: str = ""
    role: str = ""
