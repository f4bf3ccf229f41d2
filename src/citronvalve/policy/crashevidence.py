"""Evidence about contents of requests that may crash upstreams."""

from typing import NamedTuple

from citronvalve.model import clock


class Contents(NamedTuple):
    """Digests of a whole request and of the shared parts of its prompt.

    ``late`` is that of the whole request for upstreams that were lost after
    they had survived its beginning.
    """

    whole: int
    parts: tuple[int, ...] = ()
    late: int = 0

    def all(self) -> tuple[int, ...]:
        """Return all digests."""
        return self.whole, self.late, *self.parts

    def begun(self) -> tuple[int, ...]:
        """Return those that an upstream is lost with as it begins."""
        return self.whole, *self.parts


class Loss(NamedTuple):
    """A start of an upstream that was lost while it ran a content.

    ``content`` and ``model`` are digests, ``start`` identifies the upstream
    and its start, ``at`` is monotonic ms.  ``begun`` tells whether the
    upstream had begun to answer the request.
    """

    content: int
    start: int
    model: int
    at: clock.Ms
    begun: bool = True


class Proof(NamedTuple):
    """An answer on a content that an upstream of a model wrote and survived.

    ``model`` is a digest of its name, ``at`` monotonic ms.
    """

    content: int
    model: int
    at: clock.Ms


class Evidence(NamedTuple):
    """Losses and proofs."""

    losses: tuple[Loss, ...] = ()
    proofs: tuple[Proof, ...] = ()
