"""The stored answer of a request that has run already."""

from typing import NamedTuple

from citronvalve.once import answer as answers


class Replay(NamedTuple):
    """Give the caller this and dispatch nothing."""

    answer: answers.Answer
