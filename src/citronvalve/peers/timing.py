"""The spans that peers agree on; every daemon of a fleet has the same."""

from typing import NamedTuple

from citronvalve.model import clock


class Timing(NamedTuple):
    """Spans in ms, made for 31 data centres of 52 daemons.

    ``tick``: one message to one peer a tick, so that a daemon sends 8 and
    receives about 8 a second at any size.  A paced message costs about
    0.3 ms of CPU, and 2.1% of a core holds 66.
    ``apart``: least span between two messages to one peer.
    ``beat``: a member's heartbeat rises this often.
    ``suspect``: silence after which a member is asked directly.  A beat
    takes about 1 s to reach 52 members through gossip.
    ``dead``: silence after which a member is dead; twice ``suspect``, so
    that a refutation has as long to arrive as the suspicion took.
    ``pause``: a gap between own ticks after which a daemon takes itself for
    dead; less than ``dead``, so that it stops before another takes over.
    ``alone``: wait for an answer before a daemon acts by itself.
    ``loan``: a loan ends this long after it was asked for.
    ``slack``: a borrower stops this long before the loan's end, since what
    it told others of a loan is looked at in a period of its own.
    ``renew``: a borrower asks again this often; half a loan, so that one
    lost message costs nothing.
    ``repair``: least span between two full rosters or table asks.
    ``relay``: least span between two messages to another data centre.
    ``refresh``: an unchanged load is told again this often.
    ``forget``: a dead member stops counting after this, if most remain.
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
        """Return how long a new keeper waits before it lends.

        The old keeper may go on lending until it, too, sees the change,
        which is at most ``dead`` later; its last loan then runs out.
        """
        return self.loan_duration + self.dead_after
