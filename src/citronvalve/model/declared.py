"""What operators declare in the table, one type a kind of row."""

import enum
from typing import NamedTuple

from citronvalve.model import clock


class ServiceState(enum.StrEnum):
    """Whether operators want something to carry work."""

    IN = "in"
    OUT = "out"


class UpstreamKind(enum.StrEnum):
    """What stands behind an upstream's address."""

    ENGINE = "engine"
    PLAIN = "plain"


class Team(NamedTuple):
    """A team of callers; ``weight`` is its fair share under contention.

    ``token_sha256`` is the hex digest of its bearer token: the table never
    holds the token itself.
    """

    name: str
    token_sha256: str
    weight: float = 1.0


class Model(NamedTuple):
    """A model; ``weights`` names its object in the weight store."""

    name: str
    weights: str = ""
    version: str = "1"
    max_tokens: int = 4_096


class Datacentre(NamedTuple):
    """A data centre; state ``out`` takes no new work within seconds."""

    name: str
    region: str = "local"
    state: ServiceState = ServiceState.IN
    weight: float = 1.0


class Upstream(NamedTuple):
    """An upstream at a fixed address; groups bring theirs by themselves.

    ``serves`` names models (kind engine) or one plain service (kind plain).
    ``slots`` is how many requests it bears when warm and ``cold_slots``
    right after a start; ``ramp`` is the least time between the two in ms.
    """

    name: str
    datacentre: str
    address: str
    kind: UpstreamKind
    serves: tuple[str, ...]
    slots: int = 8
    cold_slots: int = 1
    ramp: clock.Ms = 60_000
    state: ServiceState = ServiceState.IN
    weight: float = 1.0


class Group(NamedTuple):
    """Replica groups of one model in one data centre.

    Each of ``replicas`` groups takes ``size`` VMs of one fabric domain.
    ``refuses_old_fence`` says whether its engines refuse an order with an
    old fencing number.  ``most_closed`` bounds how many of the groups a
    change may close at once.  ``adapter`` and ``role`` are passed on to
    the engines as they stand.
    """

    name: str
    datacentre: str
    model: str
    size: int
    replicas: int
    slots: int = 8
    cold_slots: int = 1
    ramp: clock.Ms = 60_000
    state: ServiceState = ServiceState.IN
    refuses_old_fence: bool = True
    most_closed: int = 1
    adapter: str = ""
    role: str = ""


class PlainService(NamedTuple):
    """A plain service; methods not named in ``repeatable`` run once."""

    name: str
    repeatable: tuple[str, ...] = ("GET", "HEAD")
    deadline: clock.Ms = 10_000


class Limit(NamedTuple):
    """Requests in progress that a team may hold on a model in one place."""

    team: str
    model: str
    datacentre: str
    slots: int


class Switches(NamedTuple):
    """Every other switch of behaviour; one row named ``all``.

    ``retry_share``: retries as a share of first tries.
    ``hedge_share``: hedged copies as a share of first tries; 0 is off.
    ``eject_share``: most upstreams of a model that may be ejected at once.
    ``crashes_to_fence``: upstreams lost to one request before it is refused.
    ``fence_for``: ms that such a request stays refused.
    ``weight_loads``: loads from the weight store at once, per data centre.
    ``keep_keys``: ms that the answer to a key is kept.
    ``default_deadline``: ms for a request that states none.
    """

    retry_share: float = 0.1
    hedge_share: float = 0.0
    eject_share: float = 0.3
    crashes_to_fence: int = 2
    fence_for: clock.Ms = 600_000
    weight_loads: int = 4
    keep_keys: clock.Ms = 86_400_000
    default_deadline: clock.Ms = 30_000


class Declared(NamedTuple):
    """The whole table at one version, checked."""

    version: int
    team_by_name: dict[str, Team]
    model_by_name: dict[str, Model]
    datacentre_by_name: dict[str, Datacentre]
    upstream_by_name: dict[str, Upstream]
    group_by_name: dict[str, Group]
    service_by_name: dict[str, PlainService]
    limit_by_key: dict[tuple[str, str, str], Limit]
    switches: Switches
