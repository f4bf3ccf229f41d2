"""The table service over HTTP."""

import urllib.parse

import msgspec

from citronvalve.model import missing
from citronvalve.storage import client
from citronvalve.storage import rows
from citronvalve.storage import tableservice


class ConflictBody(msgspec.Struct):
    """Response body of a transaction with a failed condition."""

    reason: str
    where: str
    present: tuple[rows.Row, ...] = ()


class HttpTable(tableservice.TableService):
    """HTTP client of the table service; bodies are JSON.

    :param platform: client that sends the requests.
    """

    def __init__(self, platform: client.PlatformClient) -> None:
        self._platform = platform

    def read(
        self, table: str, key: str
    ) -> rows.Row | missing.NotFound | missing.Unavailable:
        response = self._platform.read(f"/rows/{_quote(table)}/{_quote(key)}")
        if missing.is_missing(response):
            return response
        if response.status == 404:
            return missing.NotFound("no such row", f"{table}/{key}")
        return _decode(response, rows.Row)

    def scan(
        self, table: str, after: int = 0
    ) -> rows.Scan | missing.Unavailable:
        response = self._platform.read(f"/rows/{_quote(table)}?after={after}")
        if missing.is_missing(response):
            return response
        return _decode(response, rows.Scan)

    def commit(self, transaction: rows.Transaction) -> rows.CommitResult:
        body = msgspec.json.encode(transaction)
        response = self._platform.write("POST", "/transactions", body)
        if missing.is_missing(response):
            return response
        if response.status == 409:
            conflict = msgspec.json.decode(response.body, type=ConflictBody)
            return rows.Conflict(
                conflict.reason, conflict.where, conflict.present
            )
        if response.status != 200:
            # The transaction is malformed or too large and had no effect.
            return missing.Unavailable(
                _describe(response), transaction.attempt
            )
        try:
            return msgspec.json.decode(response.body, type=rows.Committed)
        except msgspec.MsgspecError as error:
            return missing.AnswerLost(str(error), transaction.attempt)


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe="")


def _describe(response: client.Response) -> str:
    return f"{response.status}: {response.body[:200].decode(errors='replace')}"


def _decode(response: client.Response, type_: type) -> object:
    if response.status != 200:
        return missing.Unavailable(_describe(response))
    try:
        return msgspec.json.decode(response.body, type=type_)
    except msgspec.MsgspecError as error:
        return missing.Unavailable(f"the response can't be decoded: {error}")
