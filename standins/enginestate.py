"""What one VM of the engine stand-in holds, and the orders it takes."""

import secrets
from typing import Any
from typing import TypedDict


class Order(TypedDict, total=False):
    """An order to a VM, as it travels."""

    fence: int
    attempt: str
    kind: str
    group: str
    vms: list[dict[str, str]]
    rank: int
    model: str
    version: str
    adapter: str


class EngineState:
    """One VM; ``refuses`` says whether it refuses an old fencing number.

    :param vm: name of the VM.
    :param model: model held from the start; empty waits for an order.
    :param refuses: whether old fencing numbers are refused.
    :param load_time: ms that loading a model takes.
    """

    def __init__(
        self, vm: str, model: str, *, refuses: bool, load_time: int
    ) -> None:
        self.vm = vm
        self.start_id = secrets.token_hex(4)
        self.model = model
        self.refuses = refuses
        self.load_time = load_time
        self.state = "ready" if model else "empty"
        self.fence = 0
        self.order: Order = {}
        self.missing: tuple[str, ...] = ()

    def take(self, order: Order, spawn_after: Any) -> bool:
        """Take an order; return whether it was accepted.

        :param order: the order.
        :param spawn_after: called with seconds and a function when loading.
        """
        if self.refuses and order["fence"] < self.fence:
            return False
        self.fence = order["fence"]
        self.order = order
        if order["kind"] == "close":
            self.state, self.model = "empty", ""
            return True
        self.model = order.get("model", "")
        self.state = "loading"
        spawn_after(self.load_time / 1_000, self._loaded, order)
        return True

    def _loaded(self, order: Order) -> None:
        if self.order is order:
            self.state = "ready"

    def holding(self) -> dict[str, Any]:
        """Return what the VM holds, as read back by the system."""
        return {
            "vm": self.vm,
            "start_id": self.start_id,
            "fence": self.fence,
            "group": self.order.get("group", ""),
            "vms": self.order.get("vms", []),
            "rank": self.order.get("rank", 0),
            "model": self.model,
            "version": self.order.get("version", ""),
            "state": self.state,
        }

    def peers(self) -> list[dict[str, str]]:
        """Return the other VMs of the group."""
        named = self.order.get("vms", [])
        return [peer for peer in named if peer["vm"] != self.vm]
