"""One VM's engine in memory, for tests of replica groups."""

from citronvalve.groups import accepted
from citronvalve.groups import holding
from citronvalve.groups import order
from citronvalve.groups import refused
from citronvalve.model import clock

_Kind = order.OrderKind


class FakeEngine:
    """Takes orders as the engines do; dies and restarts when told to.

    :param vm: its name.
    :param refuses: whether it refuses an old fencing number.
    :param load_time: ms that weights take to load.
    :ivar is_up: whether its process runs.
    :ivar is_dark: whether the network reaches it.
    :ivar running: requests in progress.
    """

    def __init__(
        self, vm: str, refuses: bool = True, load_time: clock.Ms = 20_000
    ) -> None:
        self.vm = vm
        self.refuses = refuses
        self.load_time = load_time
        self.is_up = True
        self.is_dark = False
        self.running = 0
        self.role = ""
        self._starts = 0
        self._held = holding.Holding(vm, f"{vm}.0", 0)
        self._loaded: tuple[str, str, str, int] | None = None
        self._ready_at: clock.Ms = 0

    def restart(self) -> None:
        """Start the process again, with nothing in memory."""
        self._starts += 1
        self.is_up = True
        self.running = 0
        self._loaded = None
        start_id = f"{self.vm}.{self._starts}"
        self._held = holding.Holding(self.vm, start_id, 0)

    def holding(self, now: clock.Ms) -> holding.Holding:
        """Return what it holds.

        :param now: monotonic time in ms.
        """
        if self._held.state is holding.WeightsState.LOADING:
            if now >= self._ready_at:
                self._held = self._held._replace(
                    state=holding.WeightsState.READY
                )
        return self._held

    def take(
        self, given: order.Order, now: clock.Ms
    ) -> accepted.Accepted | refused.Refused:
        """Take an order.

        :param given: the order.
        :param now: monotonic time in ms.
        """
        if self.refuses and given.fence < self._held.fence:
            return refused.Refused(self._held.fence)
        if given.fence < self._held.fence:
            # The harm that an ignoring engine can do: it starts over.
            self._loaded = None
            self._held = self._held._replace(state=holding.WeightsState.EMPTY)
        if given.kind is _Kind.CLOSE:
            self._loaded = None
            start_id = self._held.start_id
            self._held = holding.Holding(self.vm, start_id, given.fence)
            return accepted.Accepted(self._held)
        self._hold(given, now)
        return accepted.Accepted(self.holding(now))

    def _hold(self, given: order.Order, now: clock.Ms) -> None:
        wanted = (given.model, given.version, given.adapter, given.rank)
        state = self.holding(now).state
        if self._loaded != wanted:
            state = holding.WeightsState.EMPTY
        if given.kind is not _Kind.FORM:
            self.role = given.role
            if state is holding.WeightsState.EMPTY:
                state = holding.WeightsState.LOADING
                self._loaded = wanted
                self._ready_at = now + self.load_time
        self._held = self._held._replace(
            fence=given.fence,
            group=given.group,
            vms=tuple(each.vm for each in given.members),
            rank=given.rank,
            model=given.model,
            version=given.version,
            state=state,
        )
