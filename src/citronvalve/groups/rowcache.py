"""The rows of a data centre's groups, as last read from the table."""

from typing import Any
from typing import NamedTuple

import msgspec

from citronvalve.groups import lease
from citronvalve.groups import owner
from citronvalve.groups import record
from citronvalve.model import errors
from citronvalve.model import invariant
from citronvalve.storage import rows

LEASES_TABLE = "group_leases"


def groups_table(datacentre: str) -> str:
    """Return the name of the table of a data centre's groups.

    :param datacentre: its name.
    """
    return f"groups.{datacentre}"


def owners_table(datacentre: str) -> str:
    """Return the name of the table of a data centre's VMs.

    :param datacentre: its name.
    """
    return f"group_vms.{datacentre}"


def encode(stored: NamedTuple) -> dict[str, Any]:
    """Return the value of a row, with the fields named.

    :param each: a record.
    """
    return {
        field: msgspec.to_builtins(value)
        for field, value in stored._asdict().items()
    }


def decode(kind: type, row: rows.Row) -> Any:
    """Return the record in a row.

    :param kind: the record's type.
    :param row: the row.
    :raises errors.TableError: when the row was written by something else.
    """
    try:
        return msgspec.convert([row.value[f] for f in kind._fields], kind)
    except (KeyError, msgspec.ValidationError) as error:
        raise errors.TableError(
            f"not a {kind.__name__}: {error}",
            where=f"{row.table}/{row.key}",
            remedy="only the leaders write this table; delete the row",
        ) from error


def read_lease(row: rows.Row) -> lease.Lease:
    """Return the lease in a row.

    :param row: the row.
    """
    return decode(lease.Lease, row)


class RowCache:
    """Groups and owners with the versions of their rows.

    :param datacentre: its name.
    :param held: where promises are asserted.
    :ivar revision: of the last scan.
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
        """Take in what changed in the table of groups.

        :param scan: rows changed since the last scan.
        """
        self._apply_versions(scan, groups_table(self.datacentre))
        for key in scan.deleted:
            self.record_by_group.pop(key, None)
        for row in scan.rows:
            found = decode(record.GroupRecord, row)
            self.record_by_group[row.key] = found
        self._assert_disjoint()

    def apply_owners(self, scan: rows.Scan) -> None:
        """Take in what changed in the table of VMs.

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
        # One scan is one revision of the table, so that this can't be a
        # matter of reading one group before and one after a change.
        group_by_vm: dict[str, str] = {}
        for name, each in self.record_by_group.items():
            for vm in each.vms:
                other = group_by_vm.setdefault(vm, name)
                self._invariants.check(
                    "one group a VM", other == name, f"{vm}: {other}, {name}"
                )

    def condition(self, table: str, key: str) -> rows.Condition:
        """Return the condition that a row is as this book read it.

        :param table: name of the table.
        :param key: the row's key.
        """
        version = self.version_by_row.get((table, key), rows.NO_ROW)
        return rows.Condition(table, key, version)
