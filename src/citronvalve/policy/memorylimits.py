"""How the memory that a daemon may take is divided."""

from typing import NamedTuple

#: Part of what is left beside the program that is counted out to requests.
#: The rest is for copies in flight and for what the allocator keeps.
_COUNTED_PART = 0.6

#: Parts of the counted bytes for what callers have not read, and for answers
#: that are not complete.  Together they leave a quarter to new requests.
_UNSENT_PART = 0.5
_ANSWERS_PART = 0.25

#: Used where nothing is known about the VM.
_UNSENT_DEFAULT = 64 * 1024 * 1024
_ANSWERS_DEFAULT = 64 * 1024 * 1024

#: The least for each; a VM that has less serves, and may run out of memory.
_LEAST = 4 * 1024 * 1024


class MemoryLimits(NamedTuple):
    """Bytes: of all, of what callers have not read, of incomplete answers.

    ``total`` 0 is no limit.
    """

    total: int
    unsent: int
    answers: int


def divide(memory: int, resting: int) -> MemoryLimits:
    """Return the limits of a daemon.

    :param memory: bytes that the process may take, 0 if that is not known.
    :param resting: bytes that it takes without any request.
    """
    if not memory:
        return MemoryLimits(0, _UNSENT_DEFAULT, _ANSWERS_DEFAULT)
    total = max(round((memory - resting) * _COUNTED_PART), 4 * _LEAST)
    return MemoryLimits(
        total,
        max(round(total * _UNSENT_PART), _LEAST),
        min(max(round(total * _ANSWERS_PART), _LEAST), _ANSWERS_DEFAULT),
    )
