"""The desired configuration of a group's engines."""

from typing import NamedTuple


class Wanted(NamedTuple):
    """Model, version, adapter and role, as operators declare them."""

    model: str
    version: str
    adapter: str = ""
    role: str = ""
