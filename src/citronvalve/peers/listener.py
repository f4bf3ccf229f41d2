"""Callbacks by which peers inform the rest of the daemon."""

from citronvalve.model import load
from citronvalve.peers import loan
from citronvalve.peers import tabledelta


class Listener:
    """Callbacks with empty defaults, called by the peers' task.

    They must not block, since messages from peers wait meanwhile.
    """

    def on_table(self, delta: tabledelta.TableDelta) -> None:
        """Handle a newer version of the table.

        :param delta: changes since the previous version.
        """

    def on_table_corrected(
        self,
        full: tabledelta.TableDelta,
        wrong: tuple[tuple[str, str], ...],
    ) -> None:
        """Handle the replacement of rows that differed from the platform's.

        :param full: the full table, which replaces the rows held here.
        :param wrong: table and key of the rows that differed.
        """

    def on_loan(self, granted: loan.Loan) -> None:
        """Handle a new or renewed loan.

        :param granted: replaces the previous loan of its key.
        """

    def on_load(self, report: load.LoadReport) -> None:
        """Handle a newer load report from this daemon or a peer.

        :param report: with times by this daemon's clock.
        """

    def on_new_incarnation(self) -> None:
        """Handle a new incarnation, which coordinates nothing yet."""
