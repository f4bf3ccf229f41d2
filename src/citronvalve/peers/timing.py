"""Intervals and timeouts, the same for every daemon of a fleet."""

from typing import NamedTuple

from citronvalve.model import clock


class Timing(NamedTuple):
    """Times in ms, for 31 data centres of 52 daemons.

    ``tick_interval``: a daemon gossips with one peer a tick, so it sends 8
    and receives about 8 messages a second in a fleet of any size.  A message
    costs about 0.3 ms of CPU; 2.1% of a core is enough for 66 a second.
    ``send_interval``: minimum time between two messages to one peer.
    ``heartbeat_interval``: time between two heartbeats of a member.
    ``suspect_after``: a member silent for this long is probed directly.  A
    heartbeat takes about 1 s to reach 52 members by gossip.
    ``dead_after``: a member silent for this long is dead; twice
    ``suspect_after``, so that a refutation has as long to arrive as the
    suspicion took.
    ``pause_limit``: a daemon with a longer gap between its ticks considers
    itself dead; less than ``dead_after``, so that it stops before another
    member takes over.
    ``join_timeout``: how long a daemon waits for a reply before it acts
    alone.
    ``loan_duration``: a loan ends this long after it was requested.
    ``loan_margin``: a borrower stops using a loan this long before it ends,
    since its other tasks check the loan at an interval of their own.
    ``renew_interval``: time between two requests of a borrower; half of a
    loan, so that it survives one lost message.
    ``repair_interval``: minimum time between two full rosters or two table
    requests.
    ``relay_interval``: minimum time between two messages to another data
    centre.
    ``refresh_interval``: an unchanged load is sent again this often.
    ``forget_after``: a dead member no longer counts after this time, if
    most members are alive.
    """

    tick_interval: clock.Ms = 125
    send_interval: clock.Ms = 1_000
    heartbeat_interval: clock.Ms = 1_000
    suspect_after: clock.Ms = 3_000
    dead_after: clock.Ms = 6_000
    pause_limit: clock.Ms = 3_000
    join_timeout: clock.Ms = 4_000
    loan_duration: clock.Ms = 4_000
    loan_margin: clock.Ms = 250
    renew_interval: clock.Ms = 2_000
    repair_interval: clock.Ms = 1_000
    relay_interval: clock.Ms = 1_000
    refresh_interval: clock.Ms = 1_000
    forget_after: clock.Ms = 60_000

    @property
    def handover_delay(self) -> clock.Ms:
        """Return how long a new coordinator waits before it lends.

        The previous coordinator may lend until it sees the change too, at
        most ``dead_after`` later, and its last loan has to expire.
        """
        return self.loan_duration + self.dead_after
