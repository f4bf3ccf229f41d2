"""The stored answer of a request that has run already."""

from typing import NamedTuple

from citronvalve.once import response as responses


class Replay(NamedTuple):
    """Give the caller this and dispatch nothing."""

    response: responses.Response
