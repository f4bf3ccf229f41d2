"""Which faults come when, drawn from a seed."""

import enum
import random
from typing import NamedTuple

from standins.soak import relay as relays


class Fault(enum.StrEnum):
    """What is done to the installation."""

    KILL = "daemon killed"
    PAUSE = "daemon paused"
    STOP = "daemon stopped in order"
    RELOAD = "settings changed"
    STORE_BUSY = "store busy"
    STORE_SILENT = "store silent"
    STORE_LOSES = "store loses answers"
    STORE_FORGETS = "store forgets its history"
    STORE_LINK = "link to the store"
    RUNNER_LINK = "link to a runner"
    ZONE_LINK = "links to a zone's runners"
    RUNNER_CRASH = "runner crashes"
    RUNNER_UNLISTED = "runner lapses"
    RUNNER_LEAVES = "runner leaves"
    ORDERS_LATE = "orders carried out late"
    ANSWERS_LOST = "answers lost"
    VERSIONS = "versions in quick succession"
    ZONE_OUT = "zone out of service"
    LINKS = "links of daemons to all runners"
    RUNNERS_SILENT = "some runners silent"
    CRASHING_PART = "requests with a part that crashes runners"
    RUNNERS_LIMITED = "runners name a request rate"
    RUNNERS_REST = "runners ask for rest"
    RUNNER_SAYS_IT_LEAVES = "a runner says in answers alone that it leaves"
    LEADER_LATE = "leader killed as orders are late"
    ODD_ENTRY = "an odd entry among the runners'"


#: Work that operators plan; it excuses nothing.
PLANNED = frozenset(
    {
        Fault.STOP,
        Fault.RELOAD,
        Fault.RUNNER_LEAVES,
        Fault.VERSIONS,
        Fault.ZONE_OUT,
    }
)

#: What excuses no broken promise.
NO_EXCUSE = PLANNED | {
    Fault.RUNNERS_SILENT,
    Fault.RUNNERS_LIMITED,
    Fault.RUNNERS_REST,
    Fault.RUNNER_SAYS_IT_LEAVES,
    Fault.ODD_ENTRY,
}

#: Seconds from the first to the last fault of a series, and of the calm after
#: it, in which the promises with a bound in time are looked at.
_SERIES, _CALM = 8.0, 9.0

#: Seconds until all groups stand.
_FIRST = 6.0

#: Part of the series in which daemons lose their links.
_CUT_SHARE = 0.6

#: Part of the calms after a series in which runners are silent, and of the
#: series themselves.
_SILENT_SHARE = 0.8

#: Part of the series in which requests crash runners, the shortest and longest
#: time for which they come, and the part in which a daemon restarts meanwhile.
_CRASHING_SHARE = 0.5
_CRASHING = 6.0, 10.0
_RESTART_SHARE = 0.7

#: Part of the series in which runners are in need, and for how long.
_NEED_SHARE = 0.6
_NEED = 6.0, 10.0

#: Part of the series in which the leader is killed while orders are late.
_LEADER_SHARE = 0.5

#: Part of the series in which another writer leaves an odd entry.
_ODD_SHARE = 0.4
_ODD = 6.0, 12.0

_NEEDS = [
    Fault.RUNNERS_LIMITED,
    Fault.RUNNERS_REST,
    Fault.RUNNER_SAYS_IT_LEAVES,
]

_DRAWN_APART = (
    Fault.LINKS,
    Fault.RUNNERS_SILENT,
    Fault.CRASHING_PART,
    Fault.LEADER_LATE,
    Fault.ODD_ENTRY,
    *_NEEDS,
)
_DRAWN = [fault for fault in Fault if fault not in _DRAWN_APART]

_LINK_HARMS = tuple(h for h in relays.Harm if h is not relays.Harm.NONE)


class Event(NamedTuple):
    """``target`` picks one of the things that fit, by its turn."""

    at: float
    span: float
    fault: Fault
    target: int
    harm: relays.Harm


def draw(seed: int, seconds: float) -> list[Event]:
    """Return the events of a soak, by time.

    Series of three to eight faults that overlap are parted by calm; planned
    work falls into either.

    :param seed: of the soak.
    :param seconds: how long it lasts.
    """
    chance = random.Random(seed)
    # Drawn apart, so that a seed's other events stay as they are.
    cuts = random.Random(f"{seed}/links")
    silences = random.Random(f"{seed}/silences")
    crashes = random.Random(f"{seed}/crashing parts")
    needs = random.Random(f"{seed}/needs")
    leaders = random.Random(f"{seed}/leaders")
    odd = random.Random(f"{seed}/odd entries")
    events = []
    began = _FIRST
    while began + _SERIES + _CALM < seconds:
        for _ in range(chance.randint(3, 8)):
            at = began + chance.uniform(0, _SERIES - 3)
            events.append(_one(chance, at, _DRAWN))
        quiet = began + _SERIES + chance.uniform(3.5, 5.0)
        events.append(_one(chance, quiet, sorted(PLANNED)))
        if cuts.random() < _CUT_SHARE:
            at = began + cuts.uniform(0, _SERIES - 3)
            events.append(_one(cuts, at, [Fault.LINKS]))
        for start in (began, began + _SERIES + 3.5):
            if silences.random() < _SILENT_SHARE:
                at = start + silences.uniform(0, 2.0)
                events.append(_one(silences, at, [Fault.RUNNERS_SILENT]))
        if crashes.random() < _CRASHING_SHARE:
            at = began + crashes.uniform(0, 2.0)
            event = _one(crashes, at, [Fault.CRASHING_PART])
            span = crashes.uniform(*_CRASHING)
            events.append(event._replace(span=span))
            if crashes.random() < _RESTART_SHARE:
                kill = at + crashes.uniform(1.0, span - 1.0)
                events.append(_one(crashes, kill, [Fault.KILL, Fault.STOP]))
        if leaders.random() < _LEADER_SHARE:
            at = began + leaders.uniform(0, _SERIES - 3)
            events.append(_one(leaders, at, [Fault.LEADER_LATE]))
        if odd.random() < _ODD_SHARE:
            at = began + odd.uniform(0, 2.0)
            event = _one(odd, at, [Fault.ODD_ENTRY])
            events.append(event._replace(span=odd.uniform(*_ODD)))
        for need in _NEEDS:
            if needs.random() < _NEED_SHARE:
                at = began + needs.uniform(0, _SERIES)
                event = _one(needs, at, [need])
                events.append(event._replace(span=needs.uniform(*_NEED)))
        began += _SERIES + _CALM
    return sorted(events)


def _one(chance: random.Random, at: float, faults: list[Fault]) -> Event:
    return Event(
        at,
        chance.uniform(0.5, 3.0),
        chance.choice(faults),
        chance.randrange(1_000),
        chance.choice(_LINK_HARMS),
    )
