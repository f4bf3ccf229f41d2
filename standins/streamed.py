"""Reads the events of a streamed answer as clients of the shape do."""

from typing import Any, NamedTuple

import msgspec

_DONE = b"[DONE]"


class Streamed(NamedTuple):
    """What a stream brought; ``done`` needs its end mark."""

    text: str
    done: bool
    problem: dict[str, Any]


def read(raw: bytes) -> Streamed:
    """Take a body apart.

    :param raw: all of it that arrived.
    """
    parts: list[str] = []
    done = False
    problem: dict[str, Any] = {}
    for event in raw.split(b"\n\n"):
        data = event.partition(b"data: ")[2]
        if data == _DONE:
            done = True
        elif event.startswith(b"event: error"):
            problem = msgspec.json.decode(data)
        elif data:
            delta = msgspec.json.decode(data)["choices"][0]["delta"]
            parts.append(delta["content"])
    return Streamed("".join(parts), done, problem)
