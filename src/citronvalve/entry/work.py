"""A request as the decisions see it."""

from typing import NamedTuple

from citronvalve.model import clock


class Work(NamedTuple):
    """One request for a model or a plain service.

    ``target`` names the model or service; ``deadline`` is monotonic ms;
    ``prompt`` and ``output`` are lengths in tokens, the latter an upper
    bound.  ``fingerprint`` is equal for requests that an engine can't tell
    apart.  ``prefixes`` are digests of ever longer beginnings of the prompt.
    ``repeatable`` says that running it again does no harm.
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
