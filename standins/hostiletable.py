"""A table service between an operator and the store that plays tricks."""

import collections
from collections.abc import Callable
import enum

from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.storage import tableservice


class Fate(enum.Enum):
    """What becomes of one commit."""

    PASS = "pass"
    #: It takes effect, and the answer is lost.
    LOSE_ANSWER = "lose-answer"
    #: It never arrives, and the sender can't tell.
    LOSE_WRITE = "lose-write"
    #: The sender gives up waiting, and it takes effect later.
    LATE = "late"
    DOWN = "down"


class HostileTable(tableservice.TableService):
    """Passes calls on to another service, by the fates given.

    :param service: the store behind it.
    :ivar fates: of the next commits; when used up, all pass.
    :ivar before_commit: called before a commit arrives, as a rival would
        come in between.
    :ivar readable: whether reads are answered.
    """

    def __init__(self, service: tableservice.TableService) -> None:
        self._service = service
        self.fates: collections.deque[Fate] = collections.deque()
        self.before_commit: Callable[[], None] = lambda: None
        self.readable = True
        self._late: list[rows.Transaction] = []

    def read(
        self, table: str, key: str
    ) -> rows.Row | missing.NotFound | missing.Unavailable:
        if not self.readable:
            return missing.Unavailable("no reads", f"{table}/{key}")
        return self._service.read(table, key)

    def scan(
        self, table: str, after: int = 0
    ) -> rows.Scan | missing.Unavailable:
        if not self.readable:
            return missing.Unavailable("no reads", table)
        return self._service.scan(table, after)

    def commit(self, transaction: rows.Transaction) -> rows.CommitResult:
        rival, self.before_commit = self.before_commit, lambda: None
        rival()
        fate = self.fates.popleft() if self.fates else Fate.PASS
        if fate is Fate.DOWN:
            return missing.Unavailable("down", transaction.attempt)
        if fate is Fate.LATE:
            self._late.append(transaction)
        if fate in {Fate.LATE, Fate.LOSE_WRITE}:
            return missing.AnswerLost("no answer", transaction.attempt)
        done = self._service.commit(transaction)
        if fate is Fate.LOSE_ANSWER:
            return missing.AnswerLost("no answer", transaction.attempt)
        return done

    def land(self) -> None:
        """Let the late commits take effect, if their conditions hold."""
        late, self._late = self._late, []
        for transaction in late:
            self._service.commit(transaction)
