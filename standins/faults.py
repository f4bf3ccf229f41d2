"""The ways in which the platform's stand-in misbehaves on order."""

import enum


class Fault(enum.StrEnum):
    """One kind of misbehaviour."""

    #: Every call fails before it has any effect.
    DOWN = "down"
    #: Writes take effect, and the answer is lost.
    LOSE_ANSWER = "lose-answer"
    #: The answer comes late; see ``delay``.
    SLOW = "slow"


class Faults:
    """Which faults are on, and for how many calls more.

    :ivar delay: how late a slow answer is, in ms.
    """

    def __init__(self) -> None:
        self._left_by_fault: dict[Fault, int] = {}
        self.delay = 0

    def order(self, fault: Fault, calls: int = -1) -> None:
        """Switch a fault on.

        :param fault: which.
        :param calls: for how many calls; -1 until it is cleared, 0 clears.
        """
        self._left_by_fault[fault] = calls

    def strikes(self, fault: Fault) -> bool:
        """Tell whether a fault hits this call, and count it.

        :param fault: which.
        """
        left = self._left_by_fault.get(fault, 0)
        if left > 0:
            self._left_by_fault[fault] = left - 1
        return left != 0
