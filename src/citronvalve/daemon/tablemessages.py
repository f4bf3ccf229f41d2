"""Messages between daemons about the tables that they follow."""

from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.peers import delays
from citronvalve.peers import messages
from citronvalve.replicas import lease as leases
from citronvalve.storage import rows
from citronvalve.storage import tail as tails

#: A heartbeat whose excess delay reaches this is logged.
_LATE_THRESHOLD: clock.Ms = 1_000

#: Rows that were confirmed longer ago are not sent to a daemon that starts: it
#: would soon have to call the store.
_MAX_ROWS_AGE: clock.Ms = 1_100


class TableMessages:
    """Makes messages from table reads and applies received ones to tails.

    :param env: the daemon's environment.
    :param lease: the leader lease.
    :ivar tail_by_table: the followed tables.
    """

    def __init__(
        self, env: environments.Environment, lease: leases.Lease
    ) -> None:
        self._env = env
        self._lease = lease
        self._delays = delays.DelayTracker()
        self.tail_by_table: dict[str, tails.Tail] = {}

    def make_changes(
        self, lease: int, table: str, base: int, scan: rows.Scan
    ) -> messages.TableChanges:
        """Return the message with the result of a table read.

        :param lease: version of the lease that this daemon holds, or 0.
        :param table: the table's name.
        :param base: revision after which the rows changed.
        :param scan: the rows that were read.
        """
        return messages.TableChanges(
            lease,
            table,
            base,
            scan.revision,
            scan.rows,
            scan.deleted,
            self._env.name,
        )

    def make_heartbeat(self, lease: int) -> messages.Heartbeat:
        """Return the heartbeat with the known revision of each table.

        :param lease: version of the lease that this daemon holds, or 0.
        """
        states = (tail.state() for tail in self.tail_by_table.values())
        return messages.Heartbeat(
            self._env.name,
            lease,
            self._lease.daemon_count,
            tuple(filter(None, states)),
            self._env.clock.now(),
        )

    def make_rows(
        self, table: str, delay: clock.Ms
    ) -> messages.TableRows | None:
        """Return the message with all rows of a table.

        :param table: the table's name.
        :param delay: ms for which the message may be kept before it is sent.
        :returns: None if the rows are unknown or were confirmed too long ago.
        """
        tail = self.tail_by_table.get(table)
        state = tail.state() if tail is not None else None
        if state is None or state.age + delay > _MAX_ROWS_AGE:
            return None
        return messages.TableRows(
            self._env.name,
            state._replace(age=state.age + delay),
            tail.all_rows(),
        )

    def on_rows(self, message: messages.TableRows) -> None:
        """Apply all rows that another daemon sent on request.

        :param message: the rows.
        """
        tail = self.tail_by_table.get(message.state.table)
        if tail is not None and tail.expects_peers:
            tail.adopt(message.state, message.rows, message.name)

    def on_heartbeat(self, message: messages.Heartbeat) -> None:
        """Apply the table states of another daemon's heartbeat.

        :param message: the heartbeat.
        """
        lease = message.lease
        if lease and not self._lease.observe_leader(
            message.name, lease, message.daemons
        ):
            return
        delay = self._excess_delay(message)
        for state in message.tables:
            tail = self.tail_by_table.get(state.table)
            if tail is not None:
                tail.confirm(
                    state._replace(age=state.age + delay), message.name
                )

    def on_changes(self, message: messages.TableChanges) -> None:
        """Apply rows that another daemon has read.

        :param message: the changes.
        """
        tail = self.tail_by_table.get(message.table)
        old = 0 < message.lease < self._lease.newest
        if tail is None or old:
            return
        tail.apply_update(
            message.base,
            rows.Scan(message.revision, message.rows, message.removed),
            message.reader,
        )

    def on_full_request(self, message: messages.FullTableRequest) -> None:
        """Request a full update for another daemon, if this one leads.

        :param message: the request.
        """
        tail = self.tail_by_table.get(message.table)
        if tail is None or not self._lease.is_renewed:
            return
        self._env.log.change(
            "whole table requested", table=message.table, by=message.name
        )
        tail.request_full_update()

    def _excess_delay(self, message: messages.Heartbeat) -> clock.Ms:
        if message.sent_at is None:
            return 0
        now = self._env.clock.now()
        delay = self._delays.excess_delay(message.name, message.sent_at, now)
        if delay >= _LATE_THRESHOLD:
            self._env.log.change("statement late", by=message.name, ms=delay)
        return delay
