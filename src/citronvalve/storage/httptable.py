"""The table service over HTTP."""

from typing import Any
from typing import NamedTuple
import urllib.parse

import msgspec

from citronvalve.model import decoding
from citronvalve.model import missing
from citronvalve.storage import client
from citronvalve.storage import rows
from citronvalve.storage import rowvalue
from citronvalve.storage import shallow
from citronvalve.storage import tableservice


class StoredRow(NamedTuple):
    """A row on the wire; its value may be anything."""

    table: str
    key: str
    value: Any
    version: int

    def to_row(self) -> rows.Row:
        """Return the row, with a value that daemons can tell each other."""
        return rows.Row(*self)._replace(value=rowvalue.check(self.value))


class StoredScan(NamedTuple):
    """Rows on the wire."""

    revision: int
    stored: tuple[StoredRow, ...]
    deleted: tuple[str, ...] = ()

    def to_scan(self) -> rows.Scan:
        """Return the rows, each with a usable value."""
        found = tuple(row.to_row() for row in self.stored)
        return rows.Scan(self.revision, found, self.deleted)


class ConflictBody(msgspec.Struct):
    """Response body of a transaction with a failed condition."""

    reason: str
    where: str
    present: tuple[StoredRow, ...] = ()


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
        found = _decode(response, StoredRow)
        return found if missing.is_missing(found) else found.to_row()

    def scan(
        self, table: str, after: int = 0
    ) -> rows.Scan | missing.Unavailable:
        response = self._platform.read(f"/rows/{_quote(table)}?after={after}")
        if missing.is_missing(response):
            return response
        found = _decode(response, StoredScan)
        return found if missing.is_missing(found) else found.to_scan()

    def commit(self, transaction: rows.Transaction) -> rows.CommitResult:
        body = msgspec.json.encode(transaction)
        response = self._platform.write("POST", "/transactions", body)
        if missing.is_missing(response):
            return response
        if response.status == 409:
            return _to_conflict(response, transaction)
        if response.status != 200:
            # The transaction is malformed or too large and had no effect.
            return missing.Unavailable(
                _describe(response), transaction.attempt
            )
        try:
            return msgspec.json.decode(response.body, type=rows.Committed)
        except decoding.ERRORS as error:
            return missing.AnswerLost(str(error), transaction.attempt)


def _to_conflict(
    response: client.Response, transaction: rows.Transaction
) -> rows.Conflict | missing.Unavailable:
    """Return the conflict that a response tells; nothing was written."""
    found = _decode(response._replace(status=200), ConflictBody)
    if isinstance(found, missing.Missing):
        return missing.Unavailable(found.reason, transaction.attempt)
    present = tuple(row.to_row() for row in found.present)
    return rows.Conflict(found.reason, found.where, present)


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe="")


def _describe(response: client.Response) -> str:
    return f"{response.status}: {response.body[:200].decode(errors='replace')}"


def _decode(response: client.Response, type_: type) -> Any:
    if response.status != 200:
        return missing.Unavailable(_describe(response))
    try:
        return _decode_body(response.body, type_)
    except decoding.ERRORS as error:
        return missing.Unavailable(f"the response can't be decoded: {error}")


def _decode_body(body: bytes, type_: type) -> Any:
    try:
        return msgspec.json.decode(body, type=type_)
    except RecursionError:
        # One row must not hide the others.
        return msgspec.json.decode(shallow.cut(body), type=type_)
