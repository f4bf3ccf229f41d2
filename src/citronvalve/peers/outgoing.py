"""A message on its way out."""

from typing import Any
from typing import NamedTuple


class Outgoing(NamedTuple):
    """A typed message and the address it goes to."""

    address: str
    message: Any
