"""Contents of requests that crash runners, and callers that send them."""

from collections.abc import Callable
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
#: ``COUNTED``th crash by a part, or ``COUNTED_WHOLE``th by a whole request.
MOST_LATE, GRACE, COUNTED, COUNTED_WHOLE = 3, 3.0, 5, 3


class Plan(NamedTuple):
    """Requests that crash runners.

    :param part: id of the part that crashes them, or of the whole request.
    :param teams: whose keys the requests bear.
    :param is_first: whether it is the first part, or else the second one.
    :param interval: seconds between two requests.
    :param is_whole: whether the same request comes again each time.
    """

    part: str
    teams: tuple[str, ...]
    is_first: bool = False
    interval: float = 0.2
    is_whole: bool = False

    @property
    def counted(self) -> int:
        """Return the crash from which requests are counted."""
        return COUNTED_WHOLE if self.is_whole else COUNTED


class CrashingCaller:
    """Sends requests that crash runners, which share a part or are the same.

    :param fleet: the daemons.
    :param book: the accounts.
    :param chance: source of chance.
    :param plan: what is sent.
    :param key_of: returns the key of a team that is used now.
    :ivar sent: times of the requests, in seconds.
    :ivar ids: ids of the requests.
    """

    def __init__(
        self,
        fleet: list[daemons.Daemon],
        book: ledgers.Ledger,
        chance: random.Random,
        plan: Plan,
        key_of: Callable[[str], str] = operators.TEAMS.__getitem__,
    ) -> None:
        self._fleet, self._book, self._chance = fleet, book, chance
        self._key_of = key_of
        self.plan = plan
        self.sent: list[float] = []
        self.ids: set[str] = set()
        self._seen = 0
        self._late = 0

    def run(self, seconds: float, fault: str = "") -> None:
        """Send requests, and look where they have run.

        :param seconds: for how long.
        :param fault: name of this fault; while others are felt, requests
            that reach runners are not counted.
        """
        self._book.parts.crashing.add(self.plan.part)
        if self.plan.is_whole:
            self._book.parts.whole.add(self.plan.part)
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
        counted = self._book.parts.counted_crash(
            self.plan.part, self.plan.counted
        )
        if counted is None or not self._book.is_calm_but_for(fault):
            return
        self._late += sum(
            arrival.part == self.plan.part and arrival.at > counted + GRACE
            for arrival in new
        )

    def _look(self) -> None:
        crashes = [
            crash
            for crash in self._book.parts.crashes
            if crash.part == self.plan.part
        ]
        if len(crashes) >= self.plan.counted:
            self._book.look(
                "what crashes runners reaches three more at most, "
                "unless faults hide it",
                self._late <= MOST_LATE,
                f"{self.plan}: {self._late} late, {len(crashes)} crashes",
            )

    def _send(self) -> None:
        asked = self._make()
        number = asked.id
        self._book.ask(asked)
        self.sent.append(self._book.now)
        self.ids.add(number)
        head = {
            "Host": operators.HOST,
            "X-Attempt-Id": number,
            "X-Api-Key": asked.key,
            "X-Deadline-Ms": "%d" % (_DEADLINE * 1_000),
            "X-Model": self._chance.choice(list(operators.SIZE_BY_MODEL)),
            "X-Token-Usage": "100,60",
            "X-Prompt-Prefix": asked.parts,
        }
        connection = http.client.HTTPConnection(
            self._chance.choice(self._fleet).front, timeout=_DEADLINE
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

    def _make(self) -> ledgers.Asked:
        chance, plan = self._chance, self.plan
        number = uuid.UUID(int=chance.getrandbits(128)).hex
        team = chance.choice(plan.teams)
        if plan.is_whole:
            return ledgers.Asked(
                number,
                True,
                "/stream/9",
                b"%b crashes" % plan.part.encode(),
                team,
                self._key_of(team),
                f"a0:20,b3:30,{plan.part}:50",
            )
        own = f"{number[:8]}:50"
        others = f"b{chance.randrange(12):x}:30,{own}"
        parts = f"{plan.part}:20,{others}"
        if not plan.is_first:
            parts = f"a0:20,{parts}"
        return ledgers.Asked(
            number,
            True,
            f"/stream/{chance.randint(3, 25)}",
            chance.randbytes(20),
            team,
            self._key_of(team),
            parts,
        )

    def _judge(self, number: str, status: int) -> None:
        if status in (408, 421, 429, 503):
            self._book.refused(number, status)


def sound_parts(number: str) -> str:
    """Return the parts of a sound request's prompt; the last is its own.

    :param number: the request's id.
    """
    drawn = int(number[:8], 16)
    return f"a{drawn % 3:x}:20,b{drawn // 3 % 12:x}:30,{number[:8]}:50"
