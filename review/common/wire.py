"""HTTP/1.1 as far as the stand-ins need it."""

import asyncio
import json


async def read_request(reader):
    """Return method, target, headers and body, None at the end."""
    asked = await read_head(reader)
    if asked is None:
        return None
    body = await reader.readexactly(int(asked[2].get("content-length", 0)))
    return *asked, body


async def read_head(reader):
    """Return method, target and headers of a request, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return method, target, headers


def response(status, said, headers=()):
    """Return a response with a JSON body."""
    body = said if isinstance(said, bytes) else json.dumps(said).encode()
    head = [f"HTTP/1.1 {status} -", "Content-Type: application/json"]
    head += [f"{name}: {value}" for name, value in headers]
    head += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(head).encode("latin-1") + body


async def post(address, path, said):
    """Send one request and return the status."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        body = json.dumps(said).encode()
        head = f"POST {path} HTTP/1.1\r\nHost: store\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        line = await reader.readline()
        return int(line.split()[1])
    finally:
        writer.close()
