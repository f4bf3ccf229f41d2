"""How many calls come, and from which teams."""

import math


class Arrivals:
    """The rates that a work states.

    :param work: the work.
    """

    def __init__(self, work):
        self._work = work

    def rate(self, kind, number, elapsed):
        """Return the calls a second of a kind in a data centre.

        :param kind: the kind of request.
        :param number: of the data centre.
        :param elapsed: ms since the beginning.
        """
        work = self._work
        phase = number / work.datacentres * work.swing_spread
        turn = 2 * math.pi * (elapsed / work.swing_period + phase)
        shares = work.datacentre_shares or [1 / work.datacentres]
        rate = kind.rate * shares[number % len(shares)]
        for burst in work.bursts:
            if (
                burst.kind == kind.name
                and burst.begin <= elapsed < burst.end
                and burst.datacentre in (-1, number)
            ):
                rate *= burst.factor
        swing = 1 + work.swing * math.sin(turn)
        team_factor = 1 + self._team_extra(elapsed) / work.teams
        return rate * swing * self._crest_factor(elapsed) * team_factor

    def team(self, elapsed, rng):
        """Return the team of a call.

        :param elapsed: ms since the beginning.
        :param rng: random source.
        """
        if self._work.teams == 1:
            return 0
        extra = self._team_extra(elapsed)
        drawn = rng.random() * (self._work.teams + extra)
        return max(0, int(drawn - extra))

    def _crest_factor(self, elapsed):
        crest = self._work.crest
        is_high = crest and elapsed % crest.interval < crest.length
        return crest.factor if is_high else 1.0

    def _team_extra(self, elapsed):
        """Return what team 0 sends beyond its usual, as a part of that."""
        burst = self._work.team_burst
        is_high = burst and burst.begin <= elapsed < burst.end
        return burst.factor - 1 if is_high else 0.0
