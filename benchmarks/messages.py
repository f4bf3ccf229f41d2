"""A message as a full-size data centre sends it."""

from citronvalve.peers import gossip
from citronvalve.peers import heartbeat
from citronvalve.peers import loadupdate

_BEATS = 14
_LOADS = 12


def typical(number: int) -> gossip.Gossip:
    """Return a message of 14 heartbeats and 12 loads.

    :param number: of the message; its records differ from the last one's.
    """
    return gossip.Gossip(
        1,
        40,
        0x1122334455667788,
        heartbeats=tuple(
            heartbeat.Heartbeat(
                f"dc00-entry-{i:02}", 1_700_000_000, number, 40
            )
            for i in range(_BEATS)
        ),
        loads=tuple(
            loadupdate.LoadUpdate(
                f"engine-{i:04}", "sender", number, f"s-{i}", 4, 1, 8, 100
            )
            for i in range(_LOADS)
        ),
    )
