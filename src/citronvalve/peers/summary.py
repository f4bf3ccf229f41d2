"""The summary of a data centre that is sent to the others."""

from typing import NamedTuple

from citronvalve.model import clock


class Contact(NamedTuple):
    """A member that receives messages for its data centre."""

    name: str
    address: str


class Summary(NamedTuple):
    """State of a data centre.

    ``version`` is the lowest table version among its members; ``behind``
    names some of the members whose version is not the newest.
    """

    datacentre: str
    age: clock.Ms
    members: int
    version: int
    behind: tuple[str, ...]
    contacts: tuple[Contact, ...]
