"""JSON messages of the engines' interface."""

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
    """The answer to ``POST /orders``: a holding, or the current fence."""

    accepted: bool
    holding: WireHolding | None = None
    fence: int = 0


def encode_order(engine_order: order.Order) -> bytes:
    """Return an order as a request body.

    :param engine_order: the order.
    """
    return msgspec.json.encode(
        WireOrder(
            engine_order.fence,
            engine_order.attempt,
            engine_order.kind,
            engine_order.group,
            [
                WireMember(each.vm, each.address)
                for each in engine_order.members
            ],
            engine_order.rank,
            engine_order.model,
            engine_order.version,
            engine_order.adapter,
            engine_order.role,
        )
    )


def decode_holding(wire_holding: WireHolding) -> holding.Holding:
    """Return the holding in a message.

    :param wire_holding: the message.
    """
    return holding.Holding(
        wire_holding.vm,
        wire_holding.start_id,
        wire_holding.fence,
        wire_holding.group,
        tuple(each.vm for each in wire_holding.vms),
        wire_holding.rank,
        wire_holding.model,
        wire_holding.version,
        wire_holding.state,
    )


def decode_load(body: bytes) -> engineload.EngineLoad:
    """Return the load report in a response body.

    :param body: the JSON body.
    :raises msgspec.MsgspecError: when the body is not a load report.
    """
    decoded = msgspec.json.decode(body, type=_WireLoad)
    return engineload.EngineLoad(
        decoded.start_id,
        decoded.running,
        decoded.queued,
        decoded.bears,
        decoded.vms_missing,
    )


class _WireLoad(msgspec.Struct):
    start_id: str
    running: int
    queued: int
    bears: int
    vms_missing: tuple[str, ...] = ()
