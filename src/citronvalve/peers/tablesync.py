"""Brings this daemon's copy of the table up to the newest it hears of."""

from collections.abc import Callable

from citronvalve.model import clock
from citronvalve.peers import envelope
from citronvalve.peers import gossip
from citronvalve.peers import listener as listeners
from citronvalve.peers import outgoing
from citronvalve.peers import state as states
from citronvalve.peers import tabledelta
from citronvalve.peers import tablepage
from citronvalve.peers import tablerequest

_Out = list[outgoing.Outgoing]


class TableSync:
    """Takes what rides on gossip, asks for the rest and serves others.

    Any peer serves, near or far, so that a daemon that starts while the
    platform is down gets the newest version that its peers hold.

    :param state: all that this daemon knows.
    :param listener: told of each new version.
    :param confirm: called when the version rose.
    """

    def __init__(
        self,
        state: states.State,
        listener: listeners.Listener,
        confirm: Callable[[], None],
    ) -> None:
        self._state = state
        self._listener = listener
        self._announce = confirm
        self._requested_at: clock.Ms | None = None

    def publish(self, delta: tabledelta.TableDelta) -> bool:
        """Take a version that a watcher read; tell whether it is newer.

        :param delta: from the platform.
        """
        before = self._state.table.version
        risen = self._state.table.apply(delta)
        if risen:
            self._on_new_version(before)
        return risen

    def reconcile(self, whole: tabledelta.TableDelta) -> None:
        """Replace the rows held where they differ from the platform's.

        :param whole: the whole table, read from the platform.
        """
        wrong = self._state.table.reconcile(whole)
        if wrong:
            self._listener.on_table_corrected(whole, wrong)
            self._announce()

    def apply_page(self, page: tablepage.TablePage) -> None:
        """Take rows in.

        :param page: from any peer.
        """
        before = self._state.table.version
        if self._state.table.apply_page(page):
            self._on_new_version(before)

    def check_peer_table(self, message: gossip.Gossip, now: clock.Ms) -> None:
        """Compare a peer's table with the own one by version and digest.

        With the same rows, this version was the newest when the peer's was.
        With other rows at the same version one of both is wrong; which one,
        only the platform knows.

        :param message: what the peer told.
        :param now: monotonic time in ms.
        """
        table = self._state.table
        if message.table_version != table.version:
            return
        if message.table_digest != table.digest:
            table.is_disputed = True
        elif message.table_age != gossip.UNKNOWN_AGE:
            table.confirm(now - message.table_age)

    def request(self, sender: envelope.Sender, version: int) -> _Out:
        """Ask a peer for what is missing here, one peer at a time.

        :param sender: a peer.
        :param version: what it holds.
        """
        if version <= self._state.table.version:
            return []
        at, now = self._requested_at, self._state.clock.now()
        # A hundred peers may tell of a new version within a second, and a
        # full copy is large.  One that does not answer is passed over
        # after ``repair``.
        if (
            at is not None
            and now - at < self._state.settings.timing.repair_interval
        ):
            return []
        return self._request_now(sender)

    def on_request(
        self,
        sender: envelope.Sender,
        message: tablerequest.TableRequest,
        now: int,
    ) -> _Out:
        """Serve rows to a peer.

        :param sender: the peer.
        :param message: from where on.
        :param now: monotonic time in ms.
        """
        page = self._state.table.page_after(message.start)
        return [outgoing.Outgoing(sender.address, page)]

    def on_page(
        self, sender: envelope.Sender, message: tablepage.TablePage, now: int
    ) -> _Out:
        """Take rows that were asked for, and ask for those after them.

        :param sender: the peer that serves them.
        :param message: the rows.
        :param now: monotonic time in ms.
        """
        before = self._state.table.next_cursor()
        self.apply_page(message)
        if message.is_last or self._state.table.next_cursor() <= before:
            return []
        return self._request_now(sender)

    def _request_now(self, sender: envelope.Sender) -> _Out:
        self._requested_at = self._state.clock.now()
        ask = tablerequest.TableRequest(self._state.table.next_cursor())
        return [outgoing.Outgoing(sender.address, ask)]

    def _on_new_version(self, before: int) -> None:
        table = self._state.table
        self._listener.on_table(
            tabledelta.TableDelta(
                table.version, before, table.rows_after(before)
            )
        )
        # The confirmation travels with the heartbeat; it does not wait
        # for the next one.
        self._announce()
