"""A peer that sends gossip at a steady pace; its CPU is its answer."""

import sys
import time

from citronvalve.daemon import green

green.patch()

import eventlet  # noqa: E402

from benchmarks import messages  # noqa: E402
from citronvalve.model import clock  # noqa: E402
from citronvalve.peers import codec as codecs  # noqa: E402
from citronvalve.peers import envelope  # noqa: E402
from citronvalve.peers import peersettings  # noqa: E402
from citronvalve.peers import sockets as sockets_  # noqa: E402


def main(address: str, rate: float, seconds: float) -> None:
    """Send, then print the CPU seconds used and the messages sent."""
    settings = peersettings.PeerSettings("sender", "d0", address)
    sockets = sockets_.Sockets(settings, clock.SystemClock())
    codec = codecs.Codec()
    sender = envelope.Sender("sender", "d0", 1, "tcp://127.0.0.1:9")
    sockets.send(address, codec.encode(sender, messages.typical(0)))
    eventlet.sleep(1)
    began, sent = time.process_time(), 0
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        data = codec.encode(sender, messages.typical(sent))
        sent += sockets.send(address, data)
        eventlet.sleep(1 / rate)
    print(time.process_time() - began, sent)
    sockets.close()


if __name__ == "__main__":
    main(sys.argv[1], float(sys.argv[2]), float(sys.argv[3]))
