"""Parts of prompts that crash runners, and callers that send them."""

import http.client
import random
from typing import NamedTuple
import uuid

import eventlet

from standins.soak import daemon as daemons
from standins.soak import ledger as ledgers
from standins.soak import operator as operators

#: Seconds that a request gives the daemons.
_DEADLINE = 6.0

#: Requests reach runners at most this often from ``GRACE`` seconds after the
#: ``COUNTED``th crash.
MOST_LATE, GRACE, COUNTED = 3, 3.0, 5


class Plan(NamedTuple):
    """Requests that crash runners.

    :param part: id of the part that crashes them.
    :param teams: whose keys the requests bear.
    :param is_first: whether it is the first part, or else the second one.
    :param interval: seconds between two requests.
    """

    part: str
    teams: tuple[str, ...]
    is_first: bool = False
    interval: float = 0.2


class CrashingCaller:
    """Sends requests with a part that crashes runners, no two alike.

    :param fleet: the daemons.
    :param book: the accounts.
    :param chance: source of chance.
    :param plan: what is sent.
    :ivar sent: times of the requests, in seconds.
    """

    def __init__(
        self,
        fleet: list[daemons.Daemon],
        book: ledgers.Ledger,
        chance: random.Random,
        plan: Plan,
    ) -> None:
        self._fleet, self._book, self._chance = fleet, book, chance
        self.plan = plan
        self.sent: list[float] = []
        self._seen = 0
        self._late = 0

    def run(self, seconds: float, fault: str = "") -> None:
        """Send requests, and look where they have run.

        :param seconds: for how long.
        :param fault: name of this fault; while others are felt, requests
            that reach runners are not counted.
        """
        self._book.parts.crashing.add(self.plan.part)
        until = self._book.now + seconds
        while self._book.now < until:
            eventlet.spawn(self._send)
            eventlet.sleep(self.plan.interval)
            self._count_late(fault)
        self._look()

    def _count_late(self, fault: str) -> None:
        """Count the requests that have reached runners since the last time."""
        arrivals = self._book.parts.arrivals
        new, self._seen = arrivals[self._seen :], len(arrivals)
        fifth = self._book.parts.counted_crash(self.plan.part, COUNTED)
        if fifth is None or not self._book.is_calm_but_for(fault):
            return
        self._late += sum(
            arrival.part == self.plan.part and arrival.at > fifth + GRACE
            for arrival in new
        )

    def _look(self) -> None:
        crashes = [
            crash
            for crash in self._book.parts.crashes
            if crash.part == self.plan.part
        ]
        if len(crashes) >= COUNTED:
            self._book.look(
                "a part that crashes runners reaches three more at most, "
                "unless faults hide it",
                self._late <= MOST_LATE,
                f"{self.plan}: {self._late} late, {len(crashes)} crashes",
            )

    def _send(self) -> None:
        chance, plan = self._chance, self.plan
        number = uuid.UUID(int=chance.getrandbits(128)).hex
        team = chance.choice(plan.teams)
        own = f"{number[:8]}:50"
        others = f"b{chance.randrange(12):x}:30,{own}"
        parts = f"{plan.part}:20,{others}"
        if not plan.is_first:
            parts = f"a0:20,{parts}"
        asked = ledgers.Asked(
            number,
            True,
            f"/stream/{chance.randint(3, 25)}",
            chance.randbytes(20),
            team,
            operators.TEAMS[team],
            parts,
        )
        self._book.ask(asked)
        self.sent.append(self._book.now)
        head = {
            "Host": operators.HOST,
            "X-Attempt-Id": number,
            "X-Api-Key": asked.key,
            "X-Deadline-Ms": "%d" % (_DEADLINE * 1_000),
            "X-Model": chance.choice(list(operators.SIZE_BY_MODEL)),
            "X-Token-Usage": "100,60",
            "X-Prompt-Prefix": parts,
        }
        connection = http.client.HTTPConnection(
            chance.choice(self._fleet).front, timeout=_DEADLINE
        )
        try:
            connection.request("POST", asked.path, asked.body, head)
            answer = connection.getresponse()
            answer.read()
            self._judge(number, answer.status)
        except (OSError, http.client.HTTPException):
            # A crash may break the stream, and daemons may be restarted.
            pass
        finally:
            connection.close()

    def _judge(self, number: str, status: int) -> None:
        if status in (408, 421, 429, 503):
            self._book.refused(number, status)


def sound_parts(number: str) -> str:
    """Return the parts of a sound request's prompt; the last is its own.

    :param number: the request's id.
    """
    drawn = int(number[:8], 16)
    return f"a{drawn % 3:x}:20,b{drawn // 3 % 12:x}:30,{number[:8]}:50"
