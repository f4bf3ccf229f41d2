"""A kept channel is served on while the daemon stops, and cut at its end."""

import os
import pathlib
import signal
import sys
import time
import uuid

HERE = pathlib.Path(__file__).parent
sys.path.insert(0, str(HERE.parent / "common"))

import fleet as fleets  # noqa: E402

#: Events and ms between two: 3.8 s and 5 s, within the time budget of 8 s.
_FIRST, _SECOND, _GAP = 38, 50, 100

_BEFORE_STOP = 0.4


def main():
    is_troubled = os.environ.get("TROUBLE") != "0"
    fleet = fleets.Fleet(HERE)
    try:
        return play(fleet, is_troubled)
    except (fleets.CantRunError, OSError) as error:
        fleet.record.note(f"the case could not run: {error!r}")
        return 2
    finally:
        fleet.close()


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
    sock = fleets.connect(fleet.front_by_daemon[taking])
    first = send(fleet, sock, "first", _FIRST)
    time.sleep(_BEFORE_STOP)
    stopped_at = time.time()
    if is_troubled:
        record.note(f"SIGTERM to {taking}")
        fleet.process_by_name[taking].send(signal.SIGTERM)
    got = fleets.read_answer(sock)
    since = time.time() - stopped_at
    record.note(f"first request {first}: {got}, {since:.2f} s after SIGTERM")
    if got.end != "complete":
        return 2
    # A requester keeps a channel that the daemon neither closed nor announced
    # to close, and sends its next request on it at once.
    if got.headers.get("connection", "").lower() == "close":
        record.note("the daemon announced that it closes the channel")
        return 0
    sent_at = time.time()
    try:
        second = send(fleet, sock, "second", _SECOND)
    except OSError as error:
        record.note(f"the channel was closed: {error!r}")
        return 0
    got = fleets.read_answer(sock)
    ended = time.time() - stopped_at
    record.note(f"second request {second}: {got}, {ended:.2f} s after SIGTERM")
    ran = any(
        run["what"] == "run begins" and run["request"] == second
        for run in fleet.runs()
    )
    sent = sent_at - stopped_at
    record.note(
        f"second request: sent {sent:.2f} s after SIGTERM, passed on to a "
        f"runner: {ran}"
    )
    is_broken = ran and got.end != "complete" and sent > 3
    record.note("LOST is broken" if is_broken else "LOST held")
    return int(is_broken)


def send(fleet, sock, which, count):
    number = uuid.uuid4().hex[:16]
    sock.sendall(fleets.stream_request(number, count, _GAP))
    fleet.record.note(f"{which} request {number} sent: {count} events")
    return number


if __name__ == "__main__":
    sys.exit(main())
