"""What one data centre tells the others of itself."""

from typing import NamedTuple

from citronvalve.model import clock


class Contact(NamedTuple):
    """A member that takes messages for its data centre."""

    name: str
    address: str


class Summary(NamedTuple):
    """A data centre at a glance, with its age.

    ``version`` is the lowest table version that all of its members hold;
    ``behind`` names some of those that hold no newer one.
    """

    datacentre: str
    age: clock.Ms
    members: int
    version: int
    behind: tuple[str, ...]
    contacts: tuple[Contact, ...]
