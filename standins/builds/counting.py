"""Runs a daemon and counts the messages that it receives from the others.

    python counting.py OUTPUT PROGRAM [ARGUMENT...]

It knows messages by their bytes only, so that it counts those of any build:
the own interface sends arrays of protocol, kind, sender and body, the other
one arrays whose first item is a tag, after a byte that says whether they
are compressed. It imports nothing of the project.
"""

import collections
import json
import os
import pathlib
import runpy
import sys
import warnings
import zlib

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.simplefilter("ignore")

from eventlet.green import zmq  # noqa: E402
import msgspec  # noqa: E402

_PLAIN, _COMPRESSED = b"\0", b"\1"

#: Tag of a message that carries another one as its last item.
_WRAPPER = "passed"


class Counts:
    """Counts by kind and sender, written to a file with each message.

    :param output: path of the file.
    """

    def __init__(self, output: pathlib.Path) -> None:
        self._output = output
        self._count_by_key: collections.Counter[str] = collections.Counter()
        if output.exists():
            self._count_by_key.update(json.loads(output.read_text()))

    def receive(self, data: bytes) -> None:
        """Count a message.

        :param data: its bytes.
        """
        for kind, sender in _read(data):
            self._count_by_key[f"{kind} {sender}"] += 1
        self._output.write_text(json.dumps(self._count_by_key))


def _read(data: bytes) -> list[tuple[str, str]]:
    if data[:1] in (_PLAIN, _COMPRESSED):
        body = data[1:]
        if data[:1] == _COMPRESSED:
            body = zlib.decompress(body)
        return _tagged(msgspec.msgpack.decode(body))
    _, kind, sender, *_ = msgspec.msgpack.decode(data)
    return [(str(kind), sender[0])]


def _tagged(message: list) -> list[tuple[str, str]]:
    tag, first = message[0], message[1]
    found = [(tag, first if isinstance(first, str) else "")]
    if tag == _WRAPPER:
        found += _tagged(message[-1])
    return found


def main() -> None:
    """Patch the sockets and run the program in this process."""
    output, program, *arguments = sys.argv[1:]
    counts = Counts(pathlib.Path(output))
    receive = zmq.Socket.recv_multipart

    def counted(self, *args, **options):
        parts = receive(self, *args, **options)
        counts.receive(bytes(parts[-1]))
        return parts

    zmq.Socket.recv_multipart = counted
    sys.argv = [program, *arguments]
    if program.endswith(".py"):
        sys.path[0] = str(pathlib.Path(program).parent)
        runpy.run_path(program, run_name="__main__")
    else:
        sys.path[0] = ""
        runpy.run_module(program, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
