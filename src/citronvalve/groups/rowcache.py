"""A cache of the stored rows of a data centre's replica groups."""

from typing import Any
from typing import NamedTuple

import msgspec

from citronvalve.groups import lease
from citronvalve.groups import owner
from citronvalve.groups import record
from citronvalve.model import decoding
from citronvalve.model import errors
from citronvalve.model import invariant
from citronvalve.storage import rows

LEASES_TABLE = "group_leases"


def groups_table(datacentre: str) -> str:
    """Return the name of the table with a data centre's groups.

    :param datacentre: name of the data centre.
    """
    return f"groups.{datacentre}"


def owners_table(datacentre: str) -> str:
    """Return the name of the table with the owners of a data centre's VMs.

    :param datacentre: name of the data centre.
    """
    return f"group_vms.{datacentre}"


def encode(stored: NamedTuple) -> dict[str, Any]:
    """Return a record as the value of a row, keyed by field name.

    :param stored: the record.
    """
    return {
        field: msgspec.to_builtins(value)
        for field, value in stored._asdict().items()
    }


def decode(kind: type, row: rows.Row) -> Any:
    """Return the record stored in a row.

    :param kind: type of the record.
    :param row: the row.
    :raises errors.TableError: when the row does not fit the type.
    """
    try:
        return msgspec.convert([row.value[f] for f in kind._fields], kind)
    except (KeyError, *decoding.ERRORS) as error:
        raise errors.TableError(
            f"not a {kind.__name__}: {error}",
            where=f"{row.table}/{row.key}",
            remedy="only the leaders write this table; delete the row",
        ) from error


def read_lease(row: rows.Row) -> lease.Lease:
    """Return the lease stored in a row.

    :param row: the row.
    """
    return decode(lease.Lease, row)


class RowCache:
    """Caches groups and VM owners with the versions of their rows.

    :param datacentre: name of the data centre.
    :param invariants: where invariants are checked.
    :ivar record_by_group: the stored groups.
    :ivar owner_by_vm: the stored owners.
    :ivar version_by_row: versions by table and key.
    :ivar revision_by_table: revision of the last scan of each table.
    """

    def __init__(
        self, datacentre: str, invariants: invariant.Invariants
    ) -> None:
        self.datacentre = datacentre
        self.record_by_group: dict[str, record.GroupRecord] = {}
        self.owner_by_vm: dict[str, owner.Owner] = {}
        self.version_by_row: dict[tuple[str, str], int] = {}
        self.revision_by_table: dict[str, int] = {}
        self._invariants = invariants

    def apply_groups(self, scan: rows.Scan) -> None:
        """Apply changed rows of the table of groups.

        :param scan: rows changed since the last scan.
        """
        self._apply_versions(scan, groups_table(self.datacentre))
        for key in scan.deleted:
            self.record_by_group.pop(key, None)
        for row in scan.rows:
            stored = decode(record.GroupRecord, row)
            self.record_by_group[row.key] = stored
        self._assert_disjoint()

    def apply_owners(self, scan: rows.Scan) -> None:
        """Apply changed rows of the table of VM owners.

        :param scan: rows changed since the last scan.
        """
        self._apply_versions(scan, owners_table(self.datacentre))
        for key in scan.deleted:
            self.owner_by_vm.pop(key, None)
        for row in scan.rows:
            self.owner_by_vm[row.key] = decode(owner.Owner, row)

    def _apply_versions(self, scan: rows.Scan, table: str) -> None:
        self.revision_by_table[table] = scan.revision
        for key in scan.deleted:
            self.version_by_row.pop((table, key), None)
        for row in scan.rows:
            self.version_by_row[(table, row.key)] = row.version

    def _assert_disjoint(self) -> None:
        # A scan returns one revision of the table, so an overlap is not an
        # artefact of reading two groups at different times.
        group_by_vm: dict[str, str] = {}
        for name, each in self.record_by_group.items():
            for vm in each.vms:
                other = group_by_vm.setdefault(vm, name)
                self._invariants.check(
                    "one group a VM", other == name, f"{vm}: {other}, {name}"
                )

    def condition(self, table: str, key: str) -> rows.Condition:
        """Return the condition that a row still has its cached version.

        :param table: name of the table.
        :param key: key of the row.
        """
        version = self.version_by_row.get((table, key), rows.NO_ROW)
        return rows.Condition(table, key, version)
