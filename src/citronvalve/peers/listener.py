"""What the rest of the daemon hears from the peers."""

from citronvalve.model import load
from citronvalve.peers import loan
from citronvalve.peers import tabledelta


class Listener:
    """Override what is of interest; calls come from the peers' task.

    A call must not block: messages of peers wait meanwhile.
    """

    def on_table(self, delta: tabledelta.TableDelta) -> None:
        """A newer version of the table is in force here.

        :param delta: from the version before.
        """

    def on_table_corrected(
        self,
        whole: tabledelta.TableDelta,
        wrong: tuple[tuple[str, str], ...],
    ) -> None:
        """Rows in force here were not the platform's.

        :param whole: the whole table, which holds from now on.
        :param wrong: table and key of the rows that differed.
        """

    def on_loan(self, granted: loan.Loan) -> None:
        """Slots were lent to this daemon, or a loan was renewed.

        :param granted: it replaces the last loan of its key.
        """

    def on_load(self, report: load.LoadReport) -> None:
        """A newer load of an upstream is known, measured here or told.

        :param report: in own time.
        """

    def on_new_incarnation(self) -> None:
        """This daemon had been declared dead; it keeps nothing now."""
