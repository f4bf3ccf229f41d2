"""What daemons tell each other of the tables that they follow."""

from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.peers import delays
from citronvalve.peers import messages
from citronvalve.replicas import lease as leases
from citronvalve.storage import rows
from citronvalve.storage import tail as tails

#: A statement that is later than usual by so much is noted.
_LATE_THRESHOLD: clock.Ms = 1_000


class TableMessages:
    """Makes messages of what the tails read, and gives them what came.

    :param env: the daemon's environment.
    :param lease: who leads.
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
        """Return the message that tells a reading.

        :param lease: version by which this daemon leads, or 0.
        :param table: its name.
        :param base: revision after which the rows changed.
        :param scan: what was read.
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
        """Return the message that states how far the tables are known.

        :param lease: version by which this daemon leads, or 0.
        """
        states = (tail.state() for tail in self.tail_by_table.values())
        return messages.Heartbeat(
            self._env.name,
            lease,
            self._lease.daemon_count,
            tuple(filter(None, states)),
            self._env.clock.now(),
        )

    def on_heartbeat(self, message: messages.Heartbeat) -> None:
        """Take what another daemon states of the tables.

        :param message: as it came.
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
        """Take what another daemon has read.

        :param message: as it came.
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
        """Read the whole table for a daemon that can't, if this one leads.

        :param message: as it came.
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
