"""One request as the decisions see it."""

from typing import NamedTuple

from citronvalve.model import clock


class Work(NamedTuple):
    """A request to decide on.

    :param request: its id, unique in this daemon.
    :param team: the caller's team.
    :param model: the model, or the plain service.
    :param deadline: monotonic moment in ms by which the whole answer is due.
    :param prompt_tokens: length of the prompt.
    :param output_tokens: length that the answer is likely to have; the most
        it may have when nothing better is known.
    :param prefixes: keys of the prompt's prefixes, the longest first.
    :param fingerprint: digest of the whole request, equal when it is resent.
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
