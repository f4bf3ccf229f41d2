"""Declared routes."""

import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.routes import kind as kinds
from citronvalve.routes import share


class Route(NamedTuple):
    """How requests for a host and path prefix are handled.

    ``timeout`` is the maximum ms that a caller waits, ``latency_objective``
    the target ms for an answer and ``gap_objective`` that for the time
    between two events of a stream.  ``priority`` is 0 for the most urgent.
    ``max_attempts`` limits the attempts that may execute one request.
    ``public`` routes need no API key.
    """

    name: str
    host: str
    prefix: str
    kind: kinds.RequestKind
    shares: tuple[share.Share, ...]
    timeout: clock.Ms
    latency_objective: clock.Ms
    max_attempts: int = 1
    priority: int = 1
    public: bool = False
    resumable: bool = False
    gap_objective: clock.Ms = 0

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is kinds.RequestKind.STREAM:
            return self.resumable
        return self.kind is kinds.RequestKind.IDEMPOTENT

    def pick_service(self, rng: random.Random) -> str:
        """Return the name of the service for a request.

        :param rng: random number generator for the split between services.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [part.weight for part in self.shares]
        if not any(weights):
            return self.shares[0].service
        return rng.choices(self.shares, weights)[0].service
