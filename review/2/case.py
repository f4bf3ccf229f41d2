"""Unframed answers to long requests are cut by a reset of their channels."""

import os
import pathlib
import sys
import time
import uuid

HERE = pathlib.Path(__file__).parent
sys.path.insert(0, str(HERE.parent / "common"))

import fleet as fleets  # noqa: E402
import runner as runners  # noqa: E402

#: Requests, and bytes of each; the manifest allows 4,194,304.
_REQUESTS, _BODY = 100, 4_000_000


def play(fleet, is_troubled):
    fleet.put("op", "config", fleets.CONFIG)
    zones = ("doto-a", "doto-b")
    # One of two runners resets the channels of two answers in five.
    resets = ["--resets"] if is_troubled else []
    for zone, more in zip(zones, (resets, [])):
        name = f"i-{zone}-desk"
        fleet.add_runner(name, fleets.DESK, zone, "--early", *more)
    daemons = [
        fleet.add_daemon(number, zones[number % 2], zones)
        for number in range(2)
    ]
    time.sleep(2)
    broken = 0
    for turn in range(_REQUESTS):
        taking = daemons[turn % len(daemons)]
        broken += is_mixed(fleet, taking, is_troubled)
    fleet.record.note(f"answers that MIXED counts: {broken}")
    fleet.record.note("MIXED is broken" if broken else "MIXED held")
    return bool(broken)


def is_mixed(fleet, taking, is_troubled):
    """Send one request; return whether its answer is cut and looks whole."""
    number = uuid.uuid4().hex[:16]
    asked = fleets.request(
        "POST", "/puxa403/2f", number, 3_000, body=bytes(_BODY)
    )
    with fleets.connect(fleet.front_by_daemon[taking]) as sock:
        sock.sendall(asked)
        got = fleets.read_answer(sock, 5)
    whole = runners.whole_answer(number)
    is_whole = got.body == whole
    fleet.record.note(
        f"request {number} at {taking}: {got}, of {len(whole)} bytes; seal "
        f"{got.headers.get('x-runner-seal')}"
    )
    if not is_troubled and not is_whole:
        raise fleets.CantRunError("an answer is not whole without trouble")
    return got.status == 200 and got.end == "complete" and not is_whole


if __name__ == "__main__":
    # With TROUBLE=0 all is the same but for the disruption.
    trouble_on = os.environ.get("TROUBLE") != "0"
    sys.exit(fleets.run_case(play, trouble_on, HERE / "record.txt"))
