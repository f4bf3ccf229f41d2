"""A message to be sent."""

from typing import Any
from typing import NamedTuple


class Outgoing(NamedTuple):
    """A message and its destination address."""

    address: str
    message: Any
