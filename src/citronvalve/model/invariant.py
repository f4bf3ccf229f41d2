"""Invariants that are checked at run time."""

from citronvalve.model import errors


class Invariants:
    """Checks invariants and counts the checks of each.

    A soak run prints the counts: it proves nothing about an invariant that
    was never checked.

    :ivar count_by_name: number of checks of each invariant.
    """

    def __init__(self) -> None:
        self.count_by_name: dict[str, int] = {}

    def check(self, name: str, holds: bool, detail: str = "") -> None:
        """Check an invariant before the action that could violate it.

        :param name: the invariant, as a short sentence.
        :param holds: whether it holds.
        :param detail: the actual values, for the error message.
        :raises errors.InvariantError: if it does not hold.
        """
        self.count_by_name[name] = self.count_by_name.get(name, 0) + 1
        if not holds:
            raise errors.InvariantError(
                f"invariant violated: {name}; {detail}",
                remedy="report this with the surrounding log lines",
            )
