"""The message by which members spread their state."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import crashreport
from citronvalve.peers import heartbeat
from citronvalve.peers import loadupdate
from citronvalve.peers import member
from citronvalve.peers import summary
from citronvalve.peers import tablepage

#: Age of something that never happened.
UNKNOWN_AGE: clock.Ms = -1


class Gossip(NamedTuple):
    """A batch of updates; the number of each kind is bounded.

    ``known_incarnation``: the receiver's incarnation that the sender knows,
    or 0.  ``table_version``, ``table_digest``: the sender's table.
    ``roster_digest``: digest of the sender's alive members; 0 if not given.
    ``wants_reply``: whether the sender needs an immediate reply.
    ``table_age``: ms since a watcher found this version to be the newest.
    """

    known_incarnation: int
    table_version: int
    table_digest: int
    roster_digest: int = 0
    wants_reply: bool = False
    table_age: clock.Ms = UNKNOWN_AGE
    members: tuple[member.Member, ...] = ()
    heartbeats: tuple[heartbeat.Heartbeat, ...] = ()
    loads: tuple[loadupdate.LoadUpdate, ...] = ()
    crashes: tuple[crashreport.CrashReport, ...] = ()
    summaries: tuple[summary.Summary, ...] = ()
    page: tablepage.TablePage | None = None
