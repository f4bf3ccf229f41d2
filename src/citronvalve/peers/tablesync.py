"""Synchronizes this daemon's copy of the table with its peers."""

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
    """Applies rows from gossip, requests missing rows and serves others.

    Any peer serves rows, so a daemon that starts while the platform is down
    gets the newest version that its peers hold.

    :param state: what this daemon knows of its peers.
    :param listener: called with each new version.
    :param announce: called when the table changed, to send a heartbeat.
    """

    def __init__(
        self,
        state: states.State,
        listener: listeners.Listener,
        announce: Callable[[], None],
    ) -> None:
        self._state = state
        self._listener = listener
        self._announce = announce
        self._requested_at: clock.Ms | None = None

    def publish(self, delta: tabledelta.TableDelta) -> bool:
        """Apply a version that a watcher read; return whether it is newer.

        :param delta: as read from the platform.
        """
        before = self._state.table.version
        is_newer = self._state.table.apply(delta)
        if is_newer:
            self._on_new_version(before)
        return is_newer

    def reconcile(self, full: tabledelta.TableDelta) -> None:
        """Replace the rows held if they differ from the platform's.

        :param full: the full table, read from the platform.
        """
        wrong = self._state.table.reconcile(full)
        if wrong:
            self._listener.on_table_corrected(full, wrong)
            self._announce()

    def apply_page(self, page: tablepage.TablePage) -> None:
        """Apply a page of rows.

        :param page: from any peer.
        """
        before = self._state.table.version
        if self._state.table.apply_page(page):
            self._on_new_version(before)

    def check_peer_table(self, message: gossip.Gossip, now: clock.Ms) -> None:
        """Compare a peer's table with this copy by version and digest.

        If both are equal, the peer's confirmation holds for this copy too.
        If only the digests differ, one of the copies is wrong; only the
        platform can tell which.

        :param message: the peer's gossip.
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
        """Request missing rows, from one peer at a time.

        :param sender: a peer.
        :param version: the version that it holds.
        """
        if version <= self._state.table.version:
            return []
        requested_at, now = self._requested_at, self._state.clock.now()
        # A hundred peers may announce a new version within a second, and a
        # full copy is large.  If a peer doesn't reply, another one is tried
        # after ``repair_interval``.
        if (
            requested_at is not None
            and now - requested_at
            < self._state.settings.timing.repair_interval
        ):
            return []
        return self._request_now(sender)

    def on_request(
        self,
        sender: envelope.Sender,
        message: tablerequest.TableRequest,
        now: int,
    ) -> _Out:
        """Return the requested rows to a peer.

        :param sender: the peer.
        :param message: the request.
        :param now: monotonic time in ms.
        """
        page = self._state.table.page_after(message.start)
        return [outgoing.Outgoing(sender.address, page)]

    def on_page(
        self, sender: envelope.Sender, message: tablepage.TablePage, now: int
    ) -> _Out:
        """Apply requested rows, and request those after them.

        :param sender: the peer that sent them.
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
        request = tablerequest.TableRequest(self._state.table.next_cursor())
        return [outgoing.Outgoing(sender.address, request)]

    def _on_new_version(self, before: int) -> None:
        table = self._state.table
        self._listener.on_table(
            tabledelta.TableDelta(
                table.version, before, table.rows_after(before)
            )
        )
        # The heartbeat carries the confirmation and is sent at once.
        self._announce()
