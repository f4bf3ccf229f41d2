"""One VM of a group."""

from typing import NamedTuple


class Member(NamedTuple):
    """A VM and the host:port of its engine's order interface."""

    vm: str
    address: str
