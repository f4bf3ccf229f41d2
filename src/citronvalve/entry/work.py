"""A request in the form used for placement."""

from typing import NamedTuple

from citronvalve.model import clock


class Work(NamedTuple):
    """One request for a model or a plain service.

    ``target`` names the model or service; ``arrived_at`` and ``deadline``
    are monotonic ms.  ``prompt_tokens`` is an estimate, ``max_tokens`` an
    upper bound of the output.  ``fingerprint`` is equal for requests with
    equal content.  ``prefixes`` are digests of increasingly long prefixes of
    the prompt.  ``repeatable`` means that running it again does no harm.
    """

    request: str
    team: str
    target: str
    arrived_at: clock.Ms
    deadline: clock.Ms
    prompt_tokens: int
    max_tokens: int
    fingerprint: str
    prefixes: tuple[str, ...] = ()
    repeatable: bool = True
