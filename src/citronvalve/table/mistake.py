"""One thing that is wrong with a declaration."""

from typing import Any
from typing import NamedTuple

from citronvalve.model import errors


class Mistake(NamedTuple):
    """Where it is, the value seen, why it is wrong, and the remedy.

    ``needs`` is the key of the row that a reference does not find.
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
    """A table that can't be used, with everything that is wrong.

    :param mistakes: at least one.
    """

    def __init__(self, mistakes: tuple[Mistake, ...]) -> None:
        super().__init__(
            "; ".join(str(mistake) for mistake in mistakes[:3]),
            where="table",
            remedy=f"mend {len(mistakes)} in all and apply again",
        )
        self.mistakes = mistakes
