"""The message that members send each other all the time."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import crashreport
from citronvalve.peers import heartbeat
from citronvalve.peers import loadupdate
from citronvalve.peers import member
from citronvalve.peers import summary
from citronvalve.peers import tablepage

#: An age of nothing that ever happened.
UNKNOWN_AGE: clock.Ms = -1


class Gossip(NamedTuple):
    """A batch of news; every part is bounded in number.

    ``echo``: the receiver's life that the sender knows, 0 for none.
    ``version``, ``digest``: the sender's table.
    ``roster``: digest of the members that the sender sees; 0 is not told.
    ``table_age``: ms since a watcher found this version to be the newest.
    ``reply``: whether the sender needs an answer at once.
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
