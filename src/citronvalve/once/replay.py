"""The stored response of a request that has already run."""

from typing import NamedTuple

from citronvalve.once import response as responses


class Replay(NamedTuple):
    """The response to send to the caller instead of dispatching."""

    response: responses.Response
