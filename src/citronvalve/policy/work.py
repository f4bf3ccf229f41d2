"""The properties of a request that decisions depend on."""

from typing import NamedTuple

from citronvalve.model import clock


class Work(NamedTuple):
    """One request.

    :param request: its id, unique in this daemon.
    :param team: the caller's team.
    :param model: the model, or the plain service.
    :param deadline: when the whole answer is due, in monotonic ms.
    :param prompt_tokens: length of the prompt.
    :param output_tokens: expected length of the answer, or its maximum when
        no estimate is available.
    :param prefixes: keys of the prompt's prefixes, the longest first.
    :param fingerprint: digest of the whole request, the same when it is
        sent again.
    :param repeatable: whether it may run more than once.
    """

    request: str
    team: str
    model: str
    deadline: clock.Ms
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefixes: tuple[str, ...] = ()
    fingerprint: str = ""
    repeatable: bool = True
