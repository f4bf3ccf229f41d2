"""The engines of a data centre in memory, and the network to them."""

from citronvalve.groups import engineload
from citronvalve.groups import engines
from citronvalve.model import clock
from citronvalve.model import missing
from standins import fakeengine
from standins import trip


class FakeEngines(engines.Engines):
    """One process's way to the engines; several share the engines.

    :param engine_by_address: the engines, shared.
    :param time: the clock.
    :param points: where the process can be killed or paused.
    :ivar late: orders that the network holds, to arrive when told to.
    :ivar hold_next: how many orders more the network holds back.
    :ivar lose_next: how many answers to orders more are lost.
    """

    def __init__(
        self,
        engine_by_address: dict[str, fakeengine.FakeEngine],
        time: clock.Clock,
        points: trip.Trip | None = None,
    ) -> None:
        self._engine_by_address = engine_by_address
        self._time = time
        self._points = points or trip.Trip()
        self.late: list[tuple[str, engines.Order]] = []
        self.hold_next = 0
        self.lose_next = 0

    def send_order(
        self, address: str, new_order: engines.Order
    ) -> engines.Answer:
        self._points.point(f"before order {new_order.kind}")
        answer = self._order(address, new_order)
        self._points.point(f"after order {new_order.kind}")
        return answer

    def _order(self, address: str, given: engines.Order) -> engines.Answer:
        if self.hold_next:
            self.hold_next -= 1
            self.late.append((address, given))
            return missing.AnswerLost("no answer in time", address)
        engine = self._reach(address)
        if not isinstance(engine, fakeengine.FakeEngine):
            return engine
        answer = engine.take(given, self._time.now())
        if self.lose_next:
            self.lose_next -= 1
            return missing.AnswerLost("no answer in time", address)
        return answer

    def deliver(self) -> None:
        """Let the orders held back arrive, in any state of the engines."""
        late, self.late = self.late, []
        for address, given in late:
            engine = self._reach(address)
            if isinstance(engine, fakeengine.FakeEngine):
                engine.take(given, self._time.now())

    def read_holding(self, address: str) -> engines.ReadBack:
        engine = self._reach(address)
        if not isinstance(engine, fakeengine.FakeEngine):
            return engine
        return engine.holding(self._time.now())

    def read_load(
        self, address: str
    ) -> engineload.EngineLoad | missing.Unavailable | missing.AnswerLost:
        engine = self._reach(address)
        if not isinstance(engine, fakeengine.FakeEngine):
            return engine
        held = engine.holding(self._time.now())
        return engineload.EngineLoad(held.start_id, engine.running, 0, 8)

    def _reach(
        self, address: str
    ) -> fakeengine.FakeEngine | missing.Unavailable | missing.AnswerLost:
        engine = self._engine_by_address[address]
        if engine.is_dark:
            return missing.AnswerLost("no answer in time", address)
        if not engine.is_up:
            return missing.Unavailable("connection refused", address)
        return engine
