"""The records of the engines' order interface, as JSON."""

import msgspec

from citronvalve.groups import engineload
from citronvalve.groups import holding
from citronvalve.groups import order


class WireMember(msgspec.Struct):
    """A VM of a group."""

    vm: str
    address: str = ""


class WireOrder(msgspec.Struct):
    """The body of ``POST /orders``."""

    fence: int
    attempt: str
    kind: order.OrderKind
    group: str
    vms: list[WireMember]
    rank: int
    model: str
    version: str
    adapter: str
    role: str


class WireHolding(msgspec.Struct):
    """The answer to ``GET /holding``."""

    vm: str
    start_id: str
    fence: int
    group: str
    vms: list[WireMember]
    rank: int
    model: str
    version: str
    state: holding.WeightsState


class WireAnswer(msgspec.Struct):
    """The answer to ``POST /orders``: a holding, or the fence that stands."""

    accepted: bool
    holding: WireHolding | None = None
    fence: int = 0


def write(given: order.Order) -> bytes:
    """Return the body of an order.

    :param given: the order.
    """
    return msgspec.json.encode(
        WireOrder(
            given.fence,
            given.attempt,
            given.kind,
            given.group,
            [WireMember(each.vm, each.address) for each in given.members],
            given.rank,
            given.model,
            given.version,
            given.adapter,
            given.role,
        )
    )


def read_holding(held: WireHolding) -> holding.Holding:
    """Return a read-back.

    :param held: as it travelled.
    """
    return holding.Holding(
        held.vm,
        held.start_id,
        held.fence,
        held.group,
        tuple(each.vm for each in held.vms),
        held.rank,
        held.model,
        held.version,
        held.state,
    )


def read_load(body: bytes) -> engineload.EngineLoad:
    """Return a load report.

    :param body: JSON.
    :raises msgspec.MsgspecError: when it is not one.
    """
    read = msgspec.json.decode(body, type=_WireLoad)
    return engineload.EngineLoad(
        read.start_id, read.running, read.queued, read.bears, read.vms_missing
    )


class _WireLoad(msgspec.Struct):
    start_id: str
    running: int
    queued: int
    bears: int
    vms_missing: tuple[str, ...] = ()
