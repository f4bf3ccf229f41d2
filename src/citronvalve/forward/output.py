"""Writes to a caller's connection."""

import abc
from collections.abc import Callable
import fcntl
import socket
import struct
import termios

import eventlet
import eventlet.event
from eventlet.green import socket as green_socket
from eventlet import hubs

from citronvalve.forward import callergone
from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.policy import callerbudget
from citronvalve.policy import memoryaccount

#: A caller that reads nothing for this long is disconnected.
WRITE_TIMEOUT: clock.Ms = 10_000

#: Bytes that the kernel holds for a caller: by its own choice it takes in
#: megabytes, which count nowhere.
_KERNEL_BUFFER = 65_536

#: Interval at which a caller that lags is looked at.  The kernel reports a
#: socket as writable only once a third of its buffer is free.
_POLL_INTERVAL: clock.Ms = 1_000

_PART = memoryaccount.Part.UNSENT

#: Bytes per call.
_MAX_SEND = 131_072


class Output(abc.ABC):
    """Writes bytes in order."""

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Write all bytes, or take them to be written.

        :param data: the bytes.
        :raises OSError: when the connection is closed.
        :raises callergone.CallerGoneError: when the caller was ended.
        """

    def wait_written(self) -> None:
        """Wait until all bytes are written.

        :raises OSError: when the connection is closed.
        :raises callergone.CallerGoneError: when the caller was ended.
        """

    def close(self) -> None:
        """Drop what is not written."""


class BlockingOutput(Output):
    """Waits for the caller in each write.

    :param sock: a green socket.
    :param account: counts what is being written.
    :param timeout: ms in which a caller must read some.
    """

    def __init__(
        self,
        sock: green_socket.socket,
        account: memoryaccount.MemoryAccount,
        timeout: clock.Ms,
    ) -> None:
        self._sock = sock
        self._account = account
        self._timeout = timeout

    def write(self, data: bytes) -> None:
        self._sock.settimeout(self._timeout / clock.SECOND)
        self._account.add(_PART, len(data))
        try:
            self._sock.sendall(data)
        finally:
            self._account.add(_PART, -len(data))


class BufferedOutput(Output):
    """Never waits in a write: what the caller does not take is buffered.

    While nothing is buffered, a write is one call of the kernel.  A green
    thread writes the rest; it exists only while there is one.

    :param sock: a green socket.
    :param env: the daemon's environment.
    :param budget: shared by all callers.
    :param on_ended: called with the cause when the caller is ended at another
        time than in a write.
    """

    def __init__(
        self,
        sock: green_socket.socket,
        env: environments.Environment,
        budget: callerbudget.CallerBudget,
        on_ended: Callable[[Exception], None],
    ) -> None:
        self._sock = sock
        self._env = env
        self._budget = budget
        self._on_ended = on_ended
        self._data = bytearray()
        self._error: Exception | None = None
        self._task: eventlet.greenthread.GreenThread | None = None
        self._written = eventlet.event.Event()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _KERNEL_BUFFER)

    def write(self, data: bytes) -> None:
        self._check()
        if not self._data:
            sent = self._send(data)
            if sent == len(data):
                return
            data = data[sent:]
        self._buffer(data)

    def wait_written(self) -> None:
        while self._data and self._error is None:
            self._written.wait()
        self._check()

    def close(self) -> None:
        self._error = self._error or BrokenPipeError("closed")
        self._stop()

    def end(
        self, why: str, held: callerbudget.Held
    ) -> callergone.CallerGoneError:
        """End the caller; return the error for its handler.

        :param why: the cause, from a closed set.
        :param held: what it holds.
        """
        self._env.log.change(
            "caller ended",
            why=why,
            unsent_bytes=held.size,
            for_ms=self._env.clock.now() - held.since,
            callers=self._budget.holders,
            unsent_in_all=self._budget.used,
        )
        error = callergone.CallerGoneError(f"the caller was ended: {why}")
        self._error = error
        self._stop()
        return error

    def _check(self) -> None:
        if self._error is not None:
            raise self._error

    def _buffer(self, data: bytes) -> None:
        now = self._env.clock.now()
        is_new = not self._data
        self._data += data
        for output, held in self._budget.take(self, len(data), now):
            error = output.end("memory", held)
            if output is self:
                raise error
            output.tell(error)
        if is_new:
            self._written = eventlet.event.Event()
            self._task = eventlet.spawn(self._write_rest)

    def tell(self, error: Exception) -> None:
        """Tell the caller's handler that the caller was ended.

        :param error: the cause.
        """
        self._on_ended(error)

    def _stop(self) -> None:
        """Drop the buffer and wake who waits for it."""
        self._budget.drop(self)
        self._data = bytearray()
        task, self._task = self._task, None
        if not self._written.ready():
            self._written.send()
        if task is not None and task is not eventlet.getcurrent():
            task.kill()

    def _write_rest(self) -> None:
        try:
            while held := self._budget.held(self):
                if not self._wait():
                    self.tell(self.end("not reading", held))
                    return
        except OSError as error:
            self._error = error
            self._stop()
            self.tell(error)
            return
        self._task = None
        self._written.send()

    def _wait(self) -> bool:
        """Write something; return False if the caller reads nothing."""
        time_source = self._env.clock
        unread = self._unacknowledged()
        moved_at = time_source.now()
        while True:
            try:
                hubs.trampoline(
                    self._sock.fd,
                    write=True,
                    timeout=_POLL_INTERVAL / clock.SECOND,
                    timeout_exc=TimeoutError,
                )
            except TimeoutError:
                # A write may succeed though the socket is not reported, and
                # after a pause of the process.
                pass
            if self._write_some():
                return True
            now, before = time_source.now(), unread
            unread = self._unacknowledged()
            if unread < before:
                moved_at = now
            if now - moved_at >= WRITE_TIMEOUT:
                return False

    def _write_some(self) -> int:
        with memoryview(self._data) as data, data[:_MAX_SEND] as part:
            sent = self._send(part)
        if sent:
            del self._data[:sent]
            self._budget.give(self, sent)
        return sent

    def _send(self, data: bytes | memoryview) -> int:
        try:
            return self._sock.fd.send(data)
        except BlockingIOError:
            return 0

    def _unacknowledged(self) -> int:
        """Return the bytes that the caller's VM has not acknowledged."""
        size = fcntl.ioctl(self._sock.fd, termios.TIOCOUTQ, b"\0" * 4)
        return struct.unpack("i", size)[0]


def open_output(
    sock: green_socket.socket,
    env: environments.Environment,
    on_ended: Callable[[Exception], None],
    timeout: clock.Ms = WRITE_TIMEOUT,
) -> Output:
    """Return the output of an accepted connection.

    :param sock: a green socket.
    :param env: the daemon's environment.
    :param on_ended: see :class:`BufferedOutput`.
    :param timeout: see :class:`BlockingOutput`.
    """
    if env.unsent is None:
        return BlockingOutput(sock, env.memory, timeout)
    return BufferedOutput(sock, env, env.unsent, on_ended)
