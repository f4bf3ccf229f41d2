"""What one message between daemons costs over real sockets."""

from collections.abc import Iterator
import json
import subprocess  # noqa: S404 - the other side is a process of its own
import sys

from benchmarks import figure

_RATES = (20, 60, 200)
_SECONDS = 8
_TIMES = 3
_MS = 1_000
_US = 1_000_000
_PORT = 28_731


def _once(rate: int) -> dict:
    receiver = subprocess.Popen(
        [
            *(sys.executable, "-m", "benchmarks.messagereceiver"),
            *(f"tcp://127.0.0.1:{_PORT}", str(rate), str(_SECONDS)),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    told = receiver.communicate(timeout=_SECONDS * 10)[0]
    return json.loads(told)


def run() -> Iterator[figure.Figure]:
    """Yield the cost of a message, received and sent, paced as in life."""
    for rate in _RATES:
        found = [_once(rate) for _ in range(_TIMES)]
        for side in ("received and handled", "encoded and sent"):
            costs = sorted(one[side] for one in found)
            yield figure.Figure(
                f"a message {side}, {rate} a second, median of {_TIMES}",
                costs[_TIMES // 2] * _US,
                "us of CPU",
            )
    yield figure.Figure("a daemon's idle tick", found[0]["idle"] * 100, "%")
    yield figure.Figure("resident memory", found[0]["resident"], "MB")
