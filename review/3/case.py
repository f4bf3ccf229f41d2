"""A silent unframed stream is reset while another runner is asked."""

from concurrent import futures
import os
import pathlib
import sys
import time
import uuid

HERE = pathlib.Path(__file__).parent
sys.path.insert(0, str(HERE.parent / "common"))

import fleet as fleets  # noqa: E402

#: Requesters at a time, requests of each, events, and ms between two.
_REQUESTERS, _REQUESTS, _EVENTS, _GAP = 1, 36, 20, 40

#: Ms until a runner writes its first event.
_FIRST = 300

#: The runner whose streams hang and are reset, two in five.
_BAD = "i-doto-a-0"

_LONGEST_GAP = 2.0


def play(fleet, is_troubled):
    fleet.put("op", "config", fleets.CONFIG)
    zones = ("doto-a", "doto-b")
    more = ("--domain", "1", "--models", fleets.MODEL, "--staged")
    more += ("--unframed", "--first", str(_FIRST))
    for zone in zones:
        for number in range(4):
            name = f"i-{zone}-{number}"
            bad = ("--hangs",) if is_troubled and name == _BAD else ()
            fleet.add_runner(name, fleets.LLM, zone, *more, *bad)
    daemons = [
        fleet.add_daemon(number, zones[number % 2], zones)
        for number in range(2)
    ]
    fleets.wait_for(lambda: len(fleet.open_heads()) >= 4, 30, "open groups")
    time.sleep(2)
    with futures.ThreadPoolExecutor() as pool:
        calls = [
            pool.submit(call, fleet, daemons[0], is_troubled)
            for _ in range(_REQUESTERS)
        ]
        broken = sum(each.result() for each in calls)
    fleet.record.note(f"streams that ORDER counts: {broken}")
    fleet.record.note("ORDER is broken" if broken else "ORDER held")
    return bool(broken)


def call(fleet, taking, is_troubled):
    """Return how many streams end as complete before their last event."""
    broken = 0
    for _ in range(_REQUESTS):
        number = uuid.uuid4().hex[:16]
        with fleets.connect(fleet.front_by_daemon[taking]) as sock:
            sock.sendall(fleets.stream_request(number, _EVENTS, _GAP))
            got = fleets.read_answer(sock, _LONGEST_GAP)
        is_whole = got.body == fleets.expected_body(number, _EVENTS)
        fleet.record.note(f"request {number}: {got}, whole: {is_whole}")
        if got.status != 200:
            continue
        if not is_troubled and not is_whole:
            raise fleets.CantRunError("a stream is cut without trouble")
        broken += got.end == "complete" and not is_whole
    return broken


if __name__ == "__main__":
    # With TROUBLE=0 all is the same but for the disruption.
    trouble_on = os.environ.get("TROUBLE") != "0"
    sys.exit(fleets.run_case(play, trouble_on, HERE / "record.txt"))
