"""The table service over HTTP."""

import urllib.parse

import msgspec

from citronvalve.model import missing
from citronvalve.storage import client
from citronvalve.storage import rows
from citronvalve.storage import tableservice


class ConflictBody(msgspec.Struct):
    """The body of a transaction that met a failed condition."""

    reason: str
    where: str
    present: tuple[rows.Row, ...] = ()


class HttpTable(tableservice.TableService):
    """Reads and transactions as JSON.

    :param platform: the client to send them by.
    """

    def __init__(self, platform: client.PlatformClient) -> None:
        self._platform = platform

    def read(
        self, table: str, key: str
    ) -> rows.Row | missing.NotFound | missing.Unavailable:
        answer = self._platform.read(f"/rows/{_quoted(table)}/{_quoted(key)}")
        if missing.is_missing(answer):
            return answer
        if answer.status == 404:
            return missing.NotFound("no such row", f"{table}/{key}")
        return _decoded(answer, rows.Row)

    def scan(
        self, table: str, after: int = 0
    ) -> rows.Scan | missing.Unavailable:
        answer = self._platform.read(f"/rows/{_quoted(table)}?after={after}")
        if missing.is_missing(answer):
            return answer
        return _decoded(answer, rows.Scan)

    def commit(self, transaction: rows.Transaction) -> rows.Outcome:
        body = msgspec.json.encode(transaction)
        answer = self._platform.write("POST", "/transactions", body)
        if missing.is_missing(answer):
            return answer
        if answer.status == 409:
            conflict = msgspec.json.decode(answer.body, type=ConflictBody)
            return rows.Conflict(
                conflict.reason, conflict.where, conflict.present
            )
        if answer.status != 200:
            # Refused as malformed or too large, before it had any effect.
            return missing.Unavailable(_text(answer), transaction.attempt)
        try:
            return msgspec.json.decode(answer.body, type=rows.Committed)
        except msgspec.MsgspecError as error:
            return missing.AnswerLost(str(error), transaction.attempt)


def _quoted(name: str) -> str:
    return urllib.parse.quote(name, safe="")


def _text(answer: client.Answer) -> str:
    return f"{answer.status}: {answer.body[:200].decode(errors='replace')}"


def _decoded(answer: client.Answer, kind: type) -> object:
    if answer.status != 200:
        return missing.Unavailable(_text(answer))
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        return missing.Unavailable(f"the answer can't be read: {error}")
