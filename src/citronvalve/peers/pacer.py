"""Limits the rate of messages to each peer."""

from collections.abc import Iterable
import random

from citronvalve.model import clock


class Pacer:
    """Records when each target was last sent a message.

    Control traffic is limited by the number of messages, each of which costs
    its receiver about 0.3 ms of CPU.  With one message a target a second,
    many changes at once don't cause many messages.

    :param interval: minimum ms between two messages to one target.
    :param rng: source of randomness.
    """

    def __init__(self, interval: clock.Ms, rng: random.Random) -> None:
        self._interval = interval
        self._rng = rng
        self._sent_at_by_target: dict[str, clock.Ms] = {}

    def may_send(self, target: str, now: clock.Ms) -> bool:
        """Return whether a message may be sent to a target.

        :param target: name or address.
        :param now: monotonic time in ms.
        """
        sent_at = self._sent_at_by_target.get(target)
        return sent_at is None or now - sent_at >= self._interval

    def record_sent(self, target: str, now: clock.Ms) -> None:
        """Record a message to a target.

        :param target: name or address.
        :param now: monotonic time in ms.
        """
        self._sent_at_by_target[target] = now

    def pick_random(self, targets: Iterable[str], now: clock.Ms) -> str | None:
        """Return a random target that may be sent to, or ``None``.

        :param targets: names or addresses.
        :param now: monotonic time in ms.
        """
        allowed = sorted(name for name in targets if self.may_send(name, now))
        return self._rng.choice(allowed) if allowed else None

    def pick_least_recent(
        self, targets: Iterable[str], now: clock.Ms
    ) -> str | None:
        """Return the target last sent to longest ago, or ``None``.

        Every target gets its turn, and ties are broken at random.

        :param targets: names or addresses.
        :param now: monotonic time in ms.
        """
        allowed = [name for name in targets if self.may_send(name, now)]
        if not allowed:
            return None
        sent_at = self._sent_at_by_target
        oldest = min(sent_at.get(name, -1) for name in allowed)
        return self.pick_random(
            [name for name in allowed if sent_at.get(name, -1) == oldest], now
        )

    def prune(self, now: clock.Ms) -> None:
        """Drop targets that were last sent to long ago.

        :param now: monotonic time in ms.
        """
        old = [
            name
            for name, at in self._sent_at_by_target.items()
            if now - at > clock.MINUTE
        ]
        for name in old:
            del self._sent_at_by_target[name]
