"""Clients that break the limits, beside the faults of a soak."""

import random
import subprocess
import sys

import eventlet

from standins.crowds import way as ways
from standins.soak import run as runs

#: Seconds from one crowd to the next, and those that one lasts.
_APART, _LASTS = 3.0, 4.0

_COUNT = 40
_BODY = 1_048_576

#: Ways of requests; the others are for ports between daemons.
_WAYS = [
    name
    for name in ways.WAY_BY_NAME
    if not name.startswith(("frames", "greetings", "messages"))
]


def send(soak: runs.Soak, chance: random.Random) -> None:
    """Send crowds to callers' and operators' ports while a soak plays.

    :param soak: the soak.
    :param chance: draws daemons, ports and ways.
    """
    fleet = soak.installation.daemons
    until = soak.book.now + soak.seconds
    started: list[subprocess.Popen] = []
    try:
        while soak.book.now < until:
            daemon = chance.choice(fleet)
            port = chance.choice((daemon.front, daemon.front, daemon.ready))
            started.append(_start(port, chance.choice(_WAYS)))
            eventlet.sleep(_APART)
    finally:
        for process in started:
            process.kill()
            process.wait()


def _start(address: str, way: str) -> subprocess.Popen:
    return subprocess.Popen(
        [
            *(sys.executable, "-m", "standins.crowds.main"),
            *("--address", address, "--way", way),
            *("--count", str(_COUNT), "--seconds", str(_LASTS)),
            *("--path", "/again/a", "--size", str(_BODY)),
            *("--line", "X-Deadline-Ms: 8000"),
        ],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
