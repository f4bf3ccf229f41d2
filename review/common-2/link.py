"""A link to one server, which can be cut and heals."""

import asyncio
import contextlib

import bed


class Link:
    """Passes connections on, and holds their bytes while it is cut.

    While it is cut, new connections are refused. What either side has sent
    meanwhile, its end too, arrives once the link has healed.

    :param port: that it listens at.
    :param target: port of the server.
    """

    def __init__(self, port: int, target: int) -> None:
        self._port, self._target = port, target
        self._server: asyncio.Server | None = None
        self._sound = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    async def heal(self) -> None:
        """Take connections, and pass on what was held."""
        self._server = await asyncio.start_server(
            self._serve, bed.HOST, self._port
        )
        self._sound.set()

    def cut(self) -> None:
        """Carry nothing from now on."""
        self._sound.clear()
        self._server.close()

    async def _serve(self, near_reader, near) -> None:
        try:
            far_reader, far = await asyncio.open_connection(
                bed.HOST, self._target
            )
        except OSError:
            near.transport.abort()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pass(near_reader, far), self._pass(far_reader, near)
            )
        near.close()
        far.close()

    async def _pass(self, source, sink) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65_536):
                await self._sound.wait()
                sink.write(data)
                await sink.drain()
            await self._sound.wait()
            sink.write_eof()
