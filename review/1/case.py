"""A leader is stopped right after an order that is carried out late."""

import os
import pathlib
import signal
import sys
import threading
import time
import uuid

HERE = pathlib.Path(__file__).parent
sys.path.insert(0, str(HERE.parent / "common"))

import fleet as fleets  # noqa: E402

_DOMAIN = [f"i-doto-a-d2-{number}" for number in range(3)]

#: Least and most seconds after which an order without an answer is carried
#: out, and for which a runner goes on serving after it has reported that it
#: drains.
_LATE, _LATEST, _DRAINS = 2.0, 12.0, 8.0


class Traffic(threading.Thread):
    """A short stream now and then at each daemon."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self._fleet = fleet
        self.is_over = False

    def end(self):
        """Stop; wait for the last answer."""
        self.is_over = True
        if self.is_alive():
            self.join()

    def run(self):
        while not self.is_over:
            for name, front in list(self._fleet.front_by_daemon.items()):
                number = uuid.uuid4().hex[:16]
                try:
                    sock = fleets.connect(front)
                    sock.sendall(fleets.stream_request(number, 5, 40))
                    got = fleets.read_answer(sock, 4)
                    sock.close()
                    self._fleet.record.note(f"{number} at {name}: {got}")
                except OSError as error:
                    self._fleet.record.note(f"{number} at {name}: {error!r}")
            time.sleep(0.3)


def play(fleet, is_troubled):
    traffic = Traffic(fleet)
    try:
        return play_beside(fleet, traffic, is_troubled)
    finally:
        traffic.end()


def play_beside(fleet, traffic, is_troubled):
    fleet.put("op", "config", fleets.CONFIG)
    zones = ("doto-a", "doto-b")
    for zone in zones:
        fleet.add_model_runners(zone, 6)
    # A second domain with one group and one runner to spare.
    for name in _DOMAIN:
        fleet.add_runner(
            name,
            fleets.LLM,
            "doto-a",
            *("--domain", "2", "--models", fleets.MODEL, "--staged"),
        )
    for number in range(4):
        fleet.add_daemon(number, zones[number % 2], zones)
    fleets.wait_for(lambda: len(fleet.open_heads()) >= 7, 30, "open groups")
    traffic.start()
    time.sleep(3)
    head, member = find_group(fleet)
    fleet.record.note(f"{head} leads a group with {member}")
    if is_troubled:
        fleet.control(head, late=True)
    fleet.control(member, drain=True)
    drained_at = time.time()
    if is_troubled:
        trouble(fleet, head)
    time.sleep(max(0.0, drained_at + _DRAINS - time.time()))
    fleet.process_by_name[member].end()
    fleet.record.note(f"{member} has left")
    time.sleep(2)
    return judge(fleet)


def find_group(fleet):
    """Return the head and the other member of the second domain's group."""
    held = {name: fleet.rows("servers")[name]["group"] for name in _DOMAIN}
    by_rank = {group["rank"]: name for name, group in held.items() if group}
    if sorted(by_rank) != [0, 1]:
        raise fleets.CantRunError(f"no group in the second domain: {held}")
    return by_rank[0], by_rank[1]


def trouble(fleet, head):
    fleets.wait_for(
        lambda: fleet.control(head), 5, "an order to join without an answer"
    )
    late = fleet.control(head)[0]
    leader = fleet.leader()
    fleet.process_by_name[leader].send(signal.SIGTERM)
    fleet.record.note(f"SIGTERM to {leader}, which leads the groups")
    back = threading.Thread(target=start_again, args=(fleet, leader))
    back.start()
    fleet.control(head, late=False)
    group = fleet.rows("servers")[head]["group"]
    until = late["at"] + _LATEST
    while time.time() < until:
        told = fleet.rows("servers")[head]["group"] or {}
        if told == group | {"State": "open"}:
            break
        time.sleep(0.02)
    time.sleep(max(0.1, late["at"] + _LATE + 0.05 - time.time()))
    for _ in fleet.control(head):
        fleet.control(head, carry_out=1)
    back.join()


def start_again(fleet, name):
    process = fleet.process_by_name[name]
    process.child.wait()
    fleet.record.note(f"{name} ended with {process.child.returncode}")
    fleet.set_bootstrap(name, False)
    process.start()


def judge(fleet):
    """Look at each join of a runner whose group has an open head."""
    state_by_key = {}
    broken = 0
    for run in sorted(fleet.runs(), key=lambda run: run["at"]):
        if run["what"] == "group state" and not run["rank"]:
            state_by_key[run["Name"], run["epoch"]] = run["State"]
        if run["what"] != "joins" or run["before"] is None:
            continue
        before = run["before"]
        state = state_by_key.get((before["Name"], before["epoch"]))
        if state not in ("open", "closing"):
            continue
        broken += 1
        fleet.record.note(
            f"{run['runner']} takes the join of {run['group']} while the "
            f"head of its group {before['Name']} is {state}",
            run["at"],
        )
    fleet.record.note("TWO is broken" if broken else "TWO held")
    return bool(broken)


if __name__ == "__main__":
    # With TROUBLE=0 all is the same but for the disruption.
    trouble_on = os.environ.get("TROUBLE") != "0"
    sys.exit(fleets.run_case(play, trouble_on, HERE / "record.txt"))
