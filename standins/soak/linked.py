"""Runs a program on a VM of its own, whose links can be cut.

    python linked.py SOURCE LINKS PROGRAM [ARGUMENT...]

The program's connections come from the address SOURCE.  While the file LINKS
holds a list of addresses and one more, connections to those go to that one
instead.  It imports nothing of the project.
"""

import json
import os
import pathlib
import runpy
import sys
import warnings

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.simplefilter("ignore")

from eventlet.greenio import base  # noqa: E402

_Address = tuple[str, int]


class Links:
    """Decides where a connection goes.

    :param path: of the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    def follow(self, address: _Address) -> _Address:
        """Return where a connection to an address goes.

        :param address: host and port.
        """
        held = json.loads(self._path.read_text()) if self._path.exists() else 0
        if not held or "%s:%d" % address not in held["targets"]:
            return address
        host, _, port = held["instead"].rpartition(":")
        return host, int(port)


def main() -> None:
    """Patch the sockets and run the program in this process."""
    source, path, program, *arguments = sys.argv[1:]
    links = Links(pathlib.Path(path))
    made = base._original_socket
    connect = made.connect_ex

    def connect_ex(sock, address):
        if not sock.getsockname()[1]:
            sock.bind((source, 0))
        return connect(sock, links.follow(address))

    made.connect_ex = connect_ex
    sys.argv = [program, *arguments]
    sys.path[0] = str(pathlib.Path(program).parent)
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
