"""Records of the operators' table, one type for each kind of row."""

import enum
from typing import NamedTuple

from citronvalve.model import clock


class ServiceState(enum.StrEnum):
    """Whether operators have something in service."""

    IN = "in"
    OUT = "out"


class UpstreamKind(enum.StrEnum):
    """What kind of server listens at an upstream's address."""

    ENGINE = "engine"
    PLAIN = "plain"


class Team(NamedTuple):
    """A team of callers; ``weight`` is its fair share under contention.

    ``token_sha256`` is the hex digest of its bearer token; the table never
    contains the token itself.
    """

    name: str
    token_sha256: str
    weight: float = 1.0


class Model(NamedTuple):
    """A model; ``weights`` is its object's name in the weight store."""

    name: str
    weights: str = ""
    version: str = "1"
    max_tokens: int = 4_096


class Datacentre(NamedTuple):
    """A data centre; with state ``out`` it gets no new work after seconds."""

    name: str
    region: str = "local"
    state: ServiceState = ServiceState.IN
    weight: float = 1.0


class Upstream(NamedTuple):
    """An upstream at a fixed address; upstreams of groups have no row.

    ``serves`` names models (kind engine) or one plain service (kind plain).
    ``slots`` is its capacity in concurrent requests when warm,
    ``cold_slots`` right after a start; ``ramp`` is the minimum time in ms
    from the one to the other.
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

    Each of the ``replicas`` groups has ``size`` VMs of one fabric domain.
    ``refuses_old_fence`` is true if its engines reject an order with an
    old fencing token.  ``most_closed`` is the maximum number of groups that
    a change may close at once.  ``adapter`` and ``role`` are passed to the
    engines unchanged.
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
    """A plain service; methods not in ``repeatable`` run at most once."""

    name: str
    repeatable: tuple[str, ...] = ("GET", "HEAD")
    deadline: clock.Ms = 10_000


class Limit(NamedTuple):
    """Maximum of a team's concurrent requests to a model in a data centre."""

    team: str
    model: str
    datacentre: str
    slots: int


class Switches(NamedTuple):
    """All other options; they are in one row named ``all``.

    ``retry_share``: maximum ratio of retries to first attempts.
    ``hedge_share``: maximum ratio of hedged copies to first attempts; 0 is
    off.
    ``eject_share``: maximum share of a model's upstreams that are ejected at
    the same time.
    ``crashes_to_fence``: number of upstreams a request may crash before it
    is rejected.
    ``fence_for``: ms for which such a request is rejected.
    ``weight_loads``: maximum concurrent loads from the weight store, per
    data centre.
    ``keep_keys``: ms for which the answer to an idempotency key is kept.
    ``default_deadline``: ms for a request without a deadline.
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
    """The operators' table at one version, validated."""

    version: int
    team_by_name: dict[str, Team]
    model_by_name: dict[str, Model]
    datacentre_by_name: dict[str, Datacentre]
    upstream_by_name: dict[str, Upstream]
    group_by_name: dict[str, Group]
    service_by_name: dict[str, PlainService]
    limit_by_key: dict[tuple[str, str, str], Limit]
    switches: Switches
