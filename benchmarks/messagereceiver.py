"""A peer that receives from a sender process and measures itself."""

import json
import random
import resource
import subprocess  # noqa: S404 - the sender is a process of its own
import sys
import time

from citronvalve.daemon import green

green.patch()

import eventlet  # noqa: E402

from citronvalve.model import clock  # noqa: E402
from citronvalve.model import invariant  # noqa: E402
from citronvalve.peers import peer  # noqa: E402
from citronvalve.peers import peersettings  # noqa: E402
from citronvalve.peers import task  # noqa: E402

_IDLE_SECONDS = 3
_KB = 1_024


def main(address: str, rate: str, seconds: str) -> None:
    """Measure idle, then under messages; print JSON."""
    now = clock.SystemClock()
    made = peer.Peer(
        peersettings.PeerSettings("receiver", "d0", address),
        now,
        random.Random(1),
        invariant.Invariants(),
    )
    running = task.PeerTask(made, now)
    running.start()
    began = time.process_time()
    eventlet.sleep(_IDLE_SECONDS)
    idle = (time.process_time() - began) / _IDLE_SECONDS
    sender = subprocess.Popen(
        [
            *(sys.executable, "-m", "benchmarks.messagesender"),
            *(address, rate, seconds),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    while not running.received:
        eventlet.sleep(0.05)
    cpu, at, count = time.process_time(), time.monotonic(), running.received
    eventlet.sleep(float(seconds))
    used = time.process_time() - cpu - idle * (time.monotonic() - at)
    count = running.received - count
    told = sender.communicate()[0].split()
    resident = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / _KB
    print(
        json.dumps(
            {
                "received and handled": used / count,
                "encoded and sent": float(told[0]) / int(told[1]),
                "idle": idle,
                "resident": resident,
            }
        )
    )
    running.stop()


if __name__ == "__main__":
    main(*sys.argv[1:])
