"""Kept channels are served on while the daemon stops, and cut at its end."""

from concurrent import futures
import os
import pathlib
import signal
import sys
import time
import uuid

HERE = pathlib.Path(__file__).parent
sys.path.insert(0, str(HERE.parent / "common"))

import fleet as fleets  # noqa: E402

#: Requesters, each with a channel that it keeps.
_REQUESTERS = 4

#: Events and ms between two: 3.8 s and 5 s, within the time budget of 8 s.
_FIRST, _SECOND, _GAP = 38, 50, 100

#: Seconds from the first requests until the daemon is stopped, and after it
#: from which on a request that is cut is not excused by its length.
_BEFORE_STOP, _EXCUSED = 0.4, 3.0


def play(fleet, is_troubled):
    record = fleet.record
    fleet.put("op", "config", fleets.CONFIG)
    zones = ("doto-a", "doto-b")
    for zone in zones:
        fleet.add_model_runners(zone, 4)
    daemons = [
        fleet.add_daemon(number, zones[number % 2], zones)
        for number in range(4)
    ]
    fleets.wait_for(lambda: len(fleet.open_heads()) >= 4, 30, "open groups")
    time.sleep(2)
    taking = daemons[0]
    stop_at = time.time() + _BEFORE_STOP
    with futures.ThreadPoolExecutor() as pool:
        calls = [
            pool.submit(call, fleet, taking, stop_at)
            for _ in range(_REQUESTERS)
        ]
        time.sleep(stop_at - time.time())
        if is_troubled:
            record.note(f"SIGTERM to {taking}")
            fleet.process_by_name[taking].send(signal.SIGTERM)
        broken = sum(each.result() for each in calls)
    record.note(f"requests that LOST counts: {broken}")
    record.note("LOST is broken" if broken else "LOST held")
    return bool(broken)


def call(fleet, taking, stop_at):
    """Send two requests on one channel; return whether LOST is broken."""
    record = fleet.record
    sock = fleets.connect(fleet.front_by_daemon[taking])
    first = send(fleet, sock, _FIRST)
    got = fleets.read_answer(sock)
    record.note(f"first {first}: {got}, {since(stop_at)}")
    if got.end != "complete":
        raise fleets.CantRunError("the first request was not answered")
    if got.headers.get("connection", "").lower() == "close":
        record.note(f"first {first}: the channel is announced to close")
        return False
    # A requester uses a channel again that nobody closed or announced to
    # close.
    sent_at = time.time()
    try:
        second = send(fleet, sock, _SECOND)
        got = fleets.read_answer(sock)
    except OSError as error:
        record.note(f"after {first}: the channel is closed: {error!r}")
        return False
    ran = any(
        run["what"] == "run begins" and run["request"] == second
        for run in fleet.runs()
    )
    record.note(
        f"second {second}, sent {sent_at - stop_at:.2f} s after the stop: "
        f"{got}, {since(stop_at)}; passed on to a runner: {ran}"
    )
    is_late = sent_at - stop_at > _EXCUSED
    return ran and is_late and got.end != "complete"


def send(fleet, sock, count):
    number = uuid.uuid4().hex[:16]
    sock.sendall(fleets.stream_request(number, count, _GAP))
    fleet.record.note(f"request {number} sent: {count} events")
    return number


def since(stop_at):
    return f"{time.time() - stop_at:.2f} s after the stop"


if __name__ == "__main__":
    # With TROUBLE=0 all is the same but for the disruption.
    trouble_on = os.environ.get("TROUBLE") != "0"
    sys.exit(fleets.run_case(play, trouble_on, HERE / "record.txt"))
