"""Chooses whom to write to, at most once a second each."""

from collections.abc import Iterable
import random

from citronvalve.model import clock


class Pacer:
    """Remembers when each target was last written to.

    Control traffic is bound by the number of messages: each costs its
    receiver about 0.3 ms of CPU.  One message a target a second, whatever
    happens, is what keeps a storm of changes from becoming a storm of
    messages.

    :param apart: least span between two messages to one target in ms.
    :param rng: chance.
    """

    def __init__(self, apart: clock.Ms, rng: random.Random) -> None:
        self._interval = apart
        self._rng = rng
        self._sent_at_by_target: dict[str, clock.Ms] = {}

    def may_send(self, target: str, now: clock.Ms) -> bool:
        """Tell whether a target may be written to.

        :param target: name or address.
        :param now: monotonic time in ms.
        """
        sent_at = self._sent_at_by_target.get(target)
        return sent_at is None or now - sent_at >= self._interval

    def record_sent(self, target: str, now: clock.Ms) -> None:
        """Note a message.

        :param target: name or address.
        :param now: monotonic time in ms.
        """
        self._sent_at_by_target[target] = now

    def pick_random(self, targets: Iterable[str], now: clock.Ms) -> str | None:
        """Pick a free target by chance, or ``None``.

        :param targets: names or addresses.
        :param now: monotonic time in ms.
        """
        free = sorted(name for name in targets if self.may_send(name, now))
        return self._rng.choice(free) if free else None

    def pick_least_recent(
        self, targets: Iterable[str], now: clock.Ms
    ) -> str | None:
        """Pick the free target that was written to longest ago.

        Chance decides between equals; every target has its turn, so that a
        member is never left out for long.

        :param targets: names or addresses.
        :param now: monotonic time in ms.
        """
        free = [name for name in targets if self.may_send(name, now)]
        if not free:
            return None
        sent_at = self._sent_at_by_target
        oldest = min(sent_at.get(name, -1) for name in free)
        return self.pick_random(
            [name for name in free if sent_at.get(name, -1) == oldest], now
        )

    def prune(self, now: clock.Ms) -> None:
        """Forget targets that are free anyway.

        :param now: monotonic time in ms.
        """
        old = [
            name
            for name, at in self._sent_at_by_target.items()
            if now - at > clock.MINUTE
        ]
        for name in old:
            del self._sent_at_by_target[name]
