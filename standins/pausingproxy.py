"""A TCP relay to a VM that is silent for a while, its kernel too."""

import contextlib
import socket
import threading
import time

from standins import hangingport

_LOOK_SECONDS = 0.02


class PausingProxy:
    """Passes bytes on; while it pauses, no connection is opened either.

    :param target: host:port of the server behind it.
    :ivar address: host:port to connect to.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._port = hangingport.HangingPort()
        self._port.release()
        self.address = self._port.address
        self._runs = threading.Event()
        self._runs.set()
        self._is_open = True
        self._accepting = threading.Thread(target=self._accept, daemon=True)
        self._accepting.start()

    def pause(self, duration: int) -> None:
        """Be silent.

        :param duration: ms.
        """
        self._runs.clear()
        # Whatever is being accepted at this moment is not filling the queue.
        time.sleep(2 * _LOOK_SECONDS)
        self._port.fill()
        time.sleep(duration / 1_000)
        self._port.release()
        self._runs.set()

    def close(self) -> None:
        """Free the port."""
        self._is_open = False
        self._accepting.join()
        self._port.close()

    def _accept(self) -> None:
        self._port.listener.settimeout(_LOOK_SECONDS)
        while self._is_open:
            if not self._runs.wait(_LOOK_SECONDS):
                continue
            try:
                near, _ = self._port.listener.accept()
                far = socket.create_connection(self._target)
            except OSError:
                continue
            for ends in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pass, args=ends, daemon=True
                ).start()

    def _pass(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                self._runs.wait()
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)
