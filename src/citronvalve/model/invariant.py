"""Promises that the program asserts of itself while it runs."""

from citronvalve.model import errors


class Invariants:
    """Asserts promises and counts how often each was looked at.

    A soak run prints the counts: a promise that was never looked at is not
    proved by that run.

    :ivar count_by_name: how often each promise was asserted.
    """

    def __init__(self) -> None:
        self.count_by_name: dict[str, int] = {}

    def check(self, name: str, holds: bool, detail: str = "") -> None:
        """Assert a promise.

        :param name: the promise, as a short sentence.
        :param true: whether it holds.
        :param detail: the values seen, for the error.
        :raises errors.InvariantError: when it does not hold; the act that
            would break it must come after this call.
        """
        self.count_by_name[name] = self.count_by_name.get(name, 0) + 1
        if not holds:
            raise errors.InvariantError(
                f"broken: {name}; {detail}",
                remedy="report this with the log around it",
            )
