"""One process of a demo or drill, on an address of its own."""

import contextlib
import fcntl
import os
import pathlib
import random
import signal
import socket
import subprocess  # noqa: S404 - the system itself starts no process
import tempfile
import time

from standins.builds import build as builds

_HOST = "127.0.0.1"
_START_SECONDS = 30
_END_SECONDS = 30
_LOOK_SECONDS = 0.02
_LOWEST_PORT, _HIGHEST_PORT = 10_000, 32_000

#: Suites run side by side; the same seed would give them the same ports.
_CHANCE = random.SystemRandom()

#: Descriptors of the lock files of the ports that this process was given.
_LOCK_BY_PORT: dict[int, int] = {}


def free_address() -> str:
    """Return an address of this machine that nothing listens at.

    Its port lies below those that the kernel gives to outgoing connections:
    one of these could take a port between this look and its use.  No other
    process gets it from here while this one runs, also while the program
    that is to listen there has not started, or starts again.
    """
    return f"{_HOST}:{_free_port()}"


def listen(backlog: int) -> socket.socket:
    """Return a socket that listens at such a port.

    Clients of an earlier test may still call a port that the kernel gave to
    it, and would be taken for those of the next one to get it.

    :param backlog: connections that may wait.
    """
    port = _free_port()
    listener = socket.create_server((_HOST, port), backlog=backlog)
    os.close(_LOCK_BY_PORT.pop(port))
    return listener


def _free_port() -> int:
    while True:
        port = _CHANCE.randrange(_LOWEST_PORT, _HIGHEST_PORT)
        if not _reserve(port):
            continue
        with contextlib.closing(socket.socket()) as probe:
            with contextlib.suppress(OSError):
                probe.bind((_HOST, port))
                return port


def _reserve(port: int) -> bool:
    """Lock a port for this process; return whether nobody else has it.

    :param port: the port; its lock ends with the process.
    """
    if port in _LOCK_BY_PORT:
        return False
    folder = pathlib.Path(tempfile.gettempdir()) / "citronvalve-ports"
    folder.mkdir(exist_ok=True)
    descriptor = os.open(folder / str(port), os.O_CREAT | os.O_RDWR, 0o666)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        return False
    _LOCK_BY_PORT[port] = descriptor
    return True


class Process:
    """A started program and where its output goes.

    :param name: for messages and the log's file name.
    :param arguments: what the interpreter runs, and its command line.
    :param address: host:port that it listens at once it is up.
    :param folder: where its output goes.
    :param variables: added to the environment.
    :param build: the checkout that it runs.
    """

    def __init__(
        self,
        name: str,
        arguments: list[str],
        address: str,
        folder: pathlib.Path,
        variables: dict[str, str] | None = None,
        build: builds.Build = builds.HERE,
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.address = address
        self.log = folder / f"{name}.log"
        with self.log.open("ab") as output:
            self._popen = subprocess.Popen(
                [build.interpreter, *arguments],
                cwd=build.root,
                env=os.environ | (variables or {}),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    def wait_up(self) -> None:
        """Wait until it listens.

        :raises RuntimeError: when it ended or took too long; with its log.
        """
        until = time.monotonic() + _START_SECONDS
        host, _, port = self.address.rpartition(":")
        while time.monotonic() < until and self._popen.poll() is None:
            with contextlib.suppress(OSError):
                socket.create_connection((host, int(port)), 0.5).close()
                return
            time.sleep(_LOOK_SECONDS)
        code = self._popen.poll()
        raise RuntimeError(
            f"{self.name} is not up (exit code {code}):\n{self.output()}"
        )

    def output(self) -> str:
        """Return all that it wrote."""
        return self.log.read_text(errors="replace")

    def send(self, number: signal.Signals) -> None:
        """Send it a signal.

        :param number: which.
        """
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    def wait(self, seconds: float = _END_SECONDS) -> int:
        """Wait for its end and return its exit code.

        :param seconds: longest wait.
        """
        return self._popen.wait(seconds)

    def end(self) -> int:
        """End it in order, or by force if it does not; return its code."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            return self.wait()
        except subprocess.TimeoutExpired:
            self._popen.kill()
            return self.wait()
