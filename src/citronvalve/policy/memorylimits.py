"""How the memory that a daemon may take is divided."""

from typing import NamedTuple

#: Part of what is left beside the program that is counted out to requests.
#: The rest is for copies in flight and for what the allocator keeps.
_COUNTED_PART = 0.6

#: Parts of the counted bytes for what callers have not read, for answers that
#: are not complete, and for bodies of requests.
_UNSENT_PART = 0.5
_ANSWERS_PART = 0.25
_BODIES_PART = 0.5

#: Bytes of a process where nothing is known about the VM.
MEMORY_DEFAULT = 256_000_000

#: Before limits are set.
BODIES_DEFAULT = 64 * 1024 * 1024

#: Most bytes for answers that are not complete.
_MAX_ANSWERS = 64 * 1024 * 1024

#: The least for each; a VM that has less serves, and may run out of memory.
_LEAST = 4 * 1024 * 1024


class MemoryLimits(NamedTuple):
    """Bytes: of all, of what callers have not read, of incomplete answers,
    of bodies of requests.
    """

    total: int
    unsent: int
    answers: int
    bodies: int


def divide(memory: int, resting: int) -> MemoryLimits:
    """Return the limits of a daemon.

    :param memory: bytes that the process may take, 0 if that is not known.
    :param resting: bytes that it takes without any request.
    """
    left = (memory or MEMORY_DEFAULT) - resting
    total = max(round(left * _COUNTED_PART), 4 * _LEAST)
    return MemoryLimits(
        total,
        max(round(total * _UNSENT_PART), _LEAST),
        min(max(round(total * _ANSWERS_PART), _LEAST), _MAX_ANSWERS),
        max(round(total * _BODIES_PART), _LEAST),
    )
