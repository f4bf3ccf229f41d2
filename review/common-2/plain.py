"""A plain runner as a process of its own: python3 plain.py PORT ID.

Its answers have no length and end with their channels. A body comes in ten
pieces, one each 80 ms. It prints a line for each request that it runs.
"""

import asyncio
import sys

import bed

_PIECES, _SIZE, _GAP = 10, 400, 0.08


def piece(request: str, number: int) -> bytes:
    """Return a piece of the answer to a request."""
    return f"{request}/{number}".encode().ljust(_SIZE, b".")


def whole(request: str) -> bytes:
    """Return the whole body of the answer to a request."""
    return b"".join(piece(request, number) for number in range(_PIECES))


async def _serve(name: str, reader, writer) -> None:
    asked = await bed.read_request(reader)
    if asked is None:
        writer.close()
        return
    _, target, head, _ = asked
    request = head.get("x-attempt-id", "")
    fields = f"X-Attempt-Id: {request}\r\nX-Runner-Id: {name}\r\n"
    if head.get("x-expect-runner", name) != name:
        fields += "X-Not-Executed: 1\r\nContent-Length: 0\r\n"
        writer.write(f"HTTP/1.1 421 -\r\n{fields}\r\n".encode())
    elif target == "/health":
        fields += "Content-Length: 0\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{fields}\r\n".encode())
    else:
        print(f"{name} runs {request}", flush=True)
        fields += f"X-Runner-Seal: {name}.{request}\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{fields}\r\n".encode())
        for number in range(_PIECES):
            await asyncio.sleep(_GAP)
            writer.write(piece(request, number))
            await writer.drain()
        print(f"{name} has answered {request} whole", flush=True)
    writer.close()


async def _main(port: int, name: str) -> None:
    server = await asyncio.start_server(
        lambda reader, writer: _serve(name, reader, writer), bed.HOST, port
    )
    print(f"{name} listens", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main(int(sys.argv[1]), sys.argv[2]))
