"""Bounds and units of the numeric columns, with the reason for each."""

from typing import NamedTuple

from citronvalve.model import clock


class Bound(NamedTuple):
    """Lowest and highest valid value, and what goes wrong outside them."""

    low: float
    high: float
    unit: str
    reason: str

    @property
    def range_text(self) -> str:
        """Return the bounds and the unit as text."""
        return f"{_format(self.low)} to {_format(self.high)} {self.unit}"


def _format(value: float) -> str:
    return f"{int(value):,}" if value == int(value) else f"{value:g}"


_WEIGHT = Bound(
    0.01, 1_000, "share", "beyond it the other shares round to nothing"
)
_SLOTS = Bound(
    1, 4_096, "requests", "no engine batches more, and 0 is state out"
)
_COLD_SLOTS = Bound(
    1, 4_096, "requests", "a start that may take nothing never warms"
)
_RAMP = Bound(0, clock.HOUR, "ms", "a longer ramp strands the accelerators")

BOUND_BY_COLUMN: dict[tuple[str, str], Bound] = {
    ("teams", "weight"): _WEIGHT,
    ("models", "max_tokens"): Bound(
        1, 1_000_000, "tokens", "a longer answer passes every deadline"
    ),
    ("datacentres", "weight"): _WEIGHT,
    ("upstreams", "slots"): _SLOTS,
    ("upstreams", "cold_slots"): _COLD_SLOTS,
    ("upstreams", "ramp"): _RAMP,
    ("upstreams", "weight"): _WEIGHT,
    ("groups", "size"): Bound(
        1, 64, "VMs", "no fabric domain of the fleet holds a larger replica"
    ),
    ("groups", "replicas"): Bound(
        0, 1_024, "groups", "a data centre holds fewer at the target's size"
    ),
    ("groups", "slots"): _SLOTS,
    ("groups", "cold_slots"): _COLD_SLOTS,
    ("groups", "ramp"): _RAMP,
    ("groups", "most_closed"): Bound(
        1, 1_024, "groups", "with 0 a new model version could never load"
    ),
    ("services", "deadline"): Bound(
        1, 10 * clock.MINUTE, "ms", "a longer wait holds a slot for nobody"
    ),
    ("limits", "slots"): Bound(
        0, 100_000, "requests", "beyond it a limit limits nothing"
    ),
    ("switches", "retry_share"): Bound(
        0, 1, "share", "more than one retry a request multiplies an overload"
    ),
    ("switches", "hedge_share"): Bound(
        0, 0.5, "share", "more copies than that cost more than they save"
    ),
    ("switches", "eject_share"): Bound(
        0, 1, "share", "it is a share of a model's upstreams"
    ),
    ("switches", "crashes_to_fence"): Bound(
        1, 10, "upstreams", "more would let one request take down a model"
    ),
    ("switches", "fence_for"): Bound(
        clock.SECOND, 24 * clock.HOUR, "ms", "a longer fence outlives the fix"
    ),
    ("switches", "weight_loads"): Bound(
        1, 1_000, "loads", "with 0 nothing could ever load"
    ),
    ("switches", "keep_keys"): Bound(
        clock.MINUTE,
        30 * 24 * clock.HOUR,
        "ms",
        "shorter, a late repeat would run again; longer, the store fills",
    ),
    ("switches", "default_deadline"): Bound(
        100, 10 * clock.MINUTE, "ms", "shorter refuses all, longer holds slots"
    ),
}
