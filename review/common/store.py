"""The platform's store: rows only, as the users' pages describe it.

``POST /put`` and ``POST /drop`` stand for the writes of runners and of the
operator, which the pages leave to the platform.
"""

import asyncio
import base64
import json
import sys
import time
import urllib.parse

import wire


class Store:
    def __init__(self):
        self.version = 0
        self.row_by_key = {}
        self.changes = []
        self.changed = asyncio.Condition()

    async def apply(self, writes, removes):
        self.version += 1
        for table, key, value in writes:
            self.row_by_key[table, key] = value, self.version
            self.changes.append((self.version, table, key, value))
        for table, key in removes:
            if self.row_by_key.pop((table, key), None) is not None:
                self.changes.append((self.version, table, key, None))
        async with self.changed:
            self.changed.notify_all()

    def told(self, status, rows=(), more=False):
        return status, {
            "Rows": list(rows),
            "HasMore": more,
            "RowVersion": self.version,
            "NowMs": round(time.monotonic() * 1_000),
        }

    def row(self, table, key):
        value, version = self.row_by_key[table, key]
        return _row(table, key, value, version)

    async def answer(self, method, path, query, body):
        if path == "/put":
            said = json.loads(body)
            value = base64.b64encode(json.dumps(said["Value"]).encode())
            await self.apply(
                [(said["Table"], said["Key"], value.decode())], []
            )
            return self.told(200)
        if path == "/drop":
            said = json.loads(body)
            await self.apply([], [(said["Table"], said["Key"])])
            return self.told(200)
        if path == "/v1/rows-get":
            return self.get(query)
        if path == "/v1/rows-feed":
            return await self.feed(query)
        if path == "/v1/rows-tx":
            return await self.transact(json.loads(body))
        return 404, {}

    def get(self, query):
        table, first = query["Table"], query.get("From", "")
        last, limit = query.get("To"), int(query.get("Limit", 500))
        keys = sorted(
            key
            for held, key in self.row_by_key
            if held == table and key >= first and (last is None or key < last)
        )
        rows = [self.row(table, key) for key in keys[:limit]]
        return self.told(200, rows, len(keys) > limit)

    async def feed(self, query):
        table, after = query["Table"], int(query["After"])
        end = time.monotonic() + int(query.get("WaitMs", 0)) / 1_000
        while True:
            found = [
                _row(table, key, value, version)
                for version, held, key, value in self.changes
                if held == table and version > after
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return self.told(200, found)
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    async def transact(self, said):
        expected = said.get("Expected", [])
        held = [
            self.row(each["Table"], each["Key"])
            for each in expected
            if (each["Table"], each["Key"]) in self.row_by_key
        ]
        version_by_key = {
            (r["Table"], r["Key"]): r["RowVersion"] for r in held
        }
        for each in expected:
            known = version_by_key.get((each["Table"], each["Key"]), 0)
            if known != each["RowVersion"]:
                return self.told(412, held)
        touched = [*said.get("Writes", []), *said.get("Remove", [])]
        if any(each["Table"] in ("op", "servers") for each in touched):
            return self.told(403)
        await self.apply(
            [
                (w["Table"], w["Key"], w["Value"])
                for w in said.get("Writes", [])
            ],
            [(r["Table"], r["Key"]) for r in said.get("Remove", [])],
        )
        return self.told(200)


def _row(table, key, value, version):
    row = {"Table": table, "part": "", "Key": key, "RowVersion": version}
    return row | ({"Removed": True} if value is None else {"Value": value})


async def main(port):
    store = Store()

    async def serve(reader, writer):
        try:
            while (asked := await wire.read_request(reader)) is not None:
                method, target, _, body = asked
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text))
                status, said = await store.answer(method, path, query, body)
                writer.write(wire.response(status, said))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", port)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
