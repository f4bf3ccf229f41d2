"""Stored record of the runners that a leader orders to leave their groups."""

from citronvalve.model import missing
from citronvalve.replicas import lease as leases
from citronvalve.storage import rows
from citronvalve.storage import tableservice

_PREFIX = "left/"
_FIELD = "runners"


class LeaveRecord:
    """Reads and writes which runners may not join another group yet.

    A runner that has left the group of a lost head shows no trace of it, and
    its head may serve for some seconds.  The record is written before the
    order to leave, so that the next leader knows these runners.

    :param service: the table service.
    :param lease: the leader lease.
    """

    def __init__(
        self, service: tableservice.TableService, lease: leases.Lease
    ) -> None:
        self._service = service
        self._lease = lease

    def read(self) -> dict[str, frozenset[str]] | missing.Unavailable:
        """Return the ids of the recorded runners by service."""
        found = self._service.scan(leases.TABLE)
        if isinstance(found, missing.Missing):
            return found
        return {
            row.key.removeprefix(_PREFIX): _parse(row)
            for row in found.rows
            if row.key.startswith(_PREFIX)
        }

    def write(self, name: str, runner_ids: frozenset[str]) -> bool:
        """Replace the record of a service; return whether it is stored.

        It fails if another daemon has taken the lease.

        :param name: the service.
        :param runner_ids: ids of the runners.
        """
        key = f"{_PREFIX}{name}"
        value = {_FIELD: sorted(runner_ids)}
        done = self._service.commit(
            rows.Transaction(
                key,
                (self._lease.condition,),
                (rows.Write(leases.TABLE, key, value),),
            )
        )
        return isinstance(done, rows.Committed)


def _parse(row: rows.Row) -> frozenset[str]:
    found = row.value.get(_FIELD)
    if not isinstance(found, list):
        return frozenset()
    return frozenset(each for each in found if isinstance(each, str))
