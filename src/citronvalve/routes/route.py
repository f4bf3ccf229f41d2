"""One declared route."""

import random
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.routes import kind as kinds
from citronvalve.routes import share


class Route(NamedTuple):
    """Requests of a host below a path, and what may be done with them.

    ``timeout`` is the longest time in ms that a caller is kept waiting,
    ``latency_objective`` the ms within which an answer is of full use,
    ``gap_objective`` the same for the pause between two events of a stream.
    ``priority`` is 0 for the most urgent.  ``attempts`` bounds the upstreams
    that one request is sent to.  ``public`` routes need no key.
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
        """Tell whether a request may run more than once."""
        if self.kind is kinds.RequestKind.STREAM:
            return self.resumable
        return self.kind is kinds.RequestKind.IDEMPOTENT

    def pick_service(self, rng: random.Random) -> str:
        """Return the service that takes a request.

        :param chance: source of chance for a split.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [part.weight for part in self.shares]
        if not any(weights):
            return self.shares[0].service
        return rng.choices(self.shares, weights)[0].service
