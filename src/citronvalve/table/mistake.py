"""Mistakes in declarations."""

from typing import Any
from typing import NamedTuple

from citronvalve.model import errors


class Mistake(NamedTuple):
    """An invalid value: its place, the reason and the remedy.

    ``needs`` is the key of the missing row that a reference names.
    """

    row: str
    column: str
    value: Any
    why: str
    remedy: str
    needs: str = ""

    def __str__(self) -> str:
        place = f"{self.row}.{self.column}" if self.column else self.row
        return f"{place} = {self.value!r}: {self.why} ({self.remedy})"


class MistakesError(errors.TableError):
    """The table is invalid; lists all its mistakes.

    :param mistakes: at least one.
    """

    def __init__(self, mistakes: tuple[Mistake, ...]) -> None:
        super().__init__(
            "; ".join(str(mistake) for mistake in mistakes[:3]),
            where="table",
            remedy=f"mend {len(mistakes)} in all and apply again",
        )
        self.mistakes = mistakes
