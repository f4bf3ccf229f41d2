"""A TCP relay whose open connections go silent on order."""

import contextlib
import socket
import threading


class SilentProxy:
    """Passes bytes on; after :meth:`hush` open connections carry nothing.

    :param target: host:port of the server behind it.
    :ivar address: host:port to connect to.
    :ivar accepted: how many connections were made.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.accepted = 0
        self._silent_until = 0
        self._open: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def hush(self) -> None:
        """Let every open connection go silent; new ones work."""
        self._silent_until = self.accepted

    def close(self) -> None:
        """Close the listener and all connections."""
        for each in (self._listener, *self._open):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            far = socket.create_connection(self._target)
            self.accepted += 1
            self._open += [near, far]
            for ends in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pass, args=(self.accepted, *ends), daemon=True
                ).start()

    def _pass(
        self, number: int, source: socket.socket, sink: socket.socket
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                if number > self._silent_until:
                    sink.sendall(data)
            sink.close()
