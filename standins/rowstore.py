"""The users' store of rows, as far as the adapter calls it.

It misbehaves on order: it loses the answer of a write, refuses, goes silent,
or forgets its history.
"""

import base64
from collections.abc import Callable
from collections.abc import Iterable
import itertools
from typing import Any
import urllib.parse

import eventlet
import eventlet.wsgi
import msgspec

_SILENCE = 30
_PAGE = 500


class RowStore:
    """Serves on a port of its own until it is closed.

    :ivar calls: how many came, by path.
    :ivar trouble: ``""``, ``busy``, ``silent``, ``lost`` or ``many``.
    :ivar after_page: called once, after the next answer to a reading.
    :ivar forgotten: revisions up to this one have no history.
    """

    def __init__(self) -> None:
        self._socket = eventlet.listen(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self._socket.getsockname()[1]
        self.calls: dict[str, int] = {}
        self.trouble = ""
        self.forgotten = 0
        self.after_page: Callable[[], None] = lambda: None
        self._revision = 1
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []
        self._task = eventlet.spawn(
            eventlet.wsgi.server, self._socket, self, log_output=False
        )

    @property
    def revision(self) -> int:
        """Return the number of the last change."""
        return self._revision

    def close(self) -> None:
        """Stop serving."""
        self._task.kill()
        self._socket.close()

    def put(self, table: str, key: str, value: Any, raw: bytes = b"") -> None:
        """Write as operators and runners do.

        :param table: name of the table.
        :param key: the row's key.
        :param value: written as JSON.
        :param raw: written in its place when given.
        """
        data = raw or msgspec.json.encode(value)
        self._revision += 1
        self._set(table, key, base64.b64encode(data).decode())

    def put_encoded(self, table: str, key: str, value: str) -> None:
        """Write a value as it is sent, which may be no base64.

        :param table: name of the table.
        :param key: the row's key.
        :param value: as it is sent.
        """
        self._revision += 1
        self._set(table, key, value)

    def value(self, table: str, key: str) -> Any:
        """Return the value of a row, None if there is none.

        :param table: name of the table.
        :param key: the row's key.
        """
        row = self._rows.get((table, key))
        if row is None or "Value" not in row:
            return None
        return msgspec.json.decode(base64.b64decode(row["Value"]))

    def drop(self, table: str, key: str) -> None:
        """Drop a row.

        :param table: name of the table.
        :param key: the row's key.
        """
        self._revision += 1
        self._rows.pop((table, key), None)
        self._changes.append(
            {
                "Table": table,
                "Key": key,
                "RowVersion": self._revision,
                "Removed": True,
            }
        )

    def forget(self) -> None:
        """Forget the history up to now."""
        self.forgotten = self._revision
        self._changes.clear()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        self.calls[path] = self.calls.get(path, 0) + 1
        status, body = self._answer(environ, path)
        start_response(status, [("Content-Type", "application/json")])
        return [msgspec.json.encode(body)]

    def _answer(self, environ, path) -> tuple[str, Any]:
        if self.trouble == "busy":
            return "503 Busy", {}
        if self.trouble == "many":
            return "429 Many", {}
        if self.trouble == "silent":
            eventlet.sleep(_SILENCE)
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        if path == "/v1/rows-tx":
            done = self._write(
                msgspec.json.decode(environ["wsgi.input"].read())
            )
            if self.trouble == "lost":
                raise ConnectionResetError("the answer is lost on order")
            return done
        if path == "/v1/rows-get":
            page = self._get(query)
            after, self.after_page = self.after_page, lambda: None
            after()
            return "200 OK", page
        return self._feed(query)

    def _get(self, query) -> dict[str, Any]:
        found = sorted(
            (key, row)
            for (table, key), row in self._rows.items()
            if table == query["Table"] and key >= query.get("From", "")
        )
        limit = min(_PAGE, int(query.get("Limit", _PAGE)))
        return self._found(
            [row for _, row in found[:limit]], len(found) > limit
        )

    def _feed(self, query) -> tuple[str, Any]:
        after = int(query["After"])
        if after < self.forgotten:
            return "410 Gone", {}
        until = int(query["WaitMs"]) / 1_000
        waited = 0.0
        while True:
            newer = itertools.takewhile(
                lambda c: c["RowVersion"] > after, reversed(self._changes)
            )
            found = [c for c in newer if c["Table"] == query["Table"]]
            found.reverse()
            if found or waited >= until:
                return "200 OK", self._found(found, False)
            eventlet.sleep(0.01)
            waited += 0.01

    def _write(self, asked) -> tuple[str, Any]:
        for wanted in asked["Expected"]:
            row = self._rows.get((wanted["Table"], wanted["Key"]))
            version = row["RowVersion"] if row else 0
            if version != wanted["RowVersion"]:
                return "412 No", self._found([row] if row else [], False)
        self._revision += 1
        for write in asked["Writes"]:
            self._set(write["Table"], write["Key"], write["Value"])
        return "200 OK", self._found([], False)

    def _set(self, table: str, key: str, value: str) -> None:
        row = {
            "Table": table,
            "part": "",
            "Key": key,
            "Value": value,
            "RowVersion": self._revision,
        }
        self._rows[table, key] = row
        self._changes.append(row)

    def _found(self, found, more) -> dict[str, Any]:
        return {
            "Rows": found,
            "HasMore": more,
            "RowVersion": self._revision,
            "NowMs": 1,
        }
