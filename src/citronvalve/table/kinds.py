"""The kinds of rows, and the columns of each."""

from collections.abc import Callable
import typing
from typing import Any
from typing import NamedTuple

from citronvalve.model import declared
from citronvalve.table import bounds
from citronvalve.table import layout


class Column(NamedTuple):
    """One column; ``required`` when it has no default."""

    name: str
    type: Any
    required: bool
    default: Any
    bound: bounds.Bound | None


class Kind(NamedTuple):
    """One kind of row: its section in a declaration, and its record."""

    section: str
    record: type
    key_columns: tuple[str, ...]
    column_by_name: dict[str, Column]

    def key_of(self, row: dict[str, Any]) -> str:
        """Return the key of a row's value.

        :param row: the columns with their values.
        """
        names = (str(row[name]) for name in self.key_columns)
        return layout.key(self.section, *(names if self.key_columns else ALL))


#: The name of the one row of switches.
ALL = ("all",)


def _kind(section: str, record: Any, key_columns: tuple[str, ...]) -> Kind:
    hints = typing.get_type_hints(record)
    defaults = record._field_defaults
    columns = {
        name: Column(
            name,
            hints[name],
            name not in defaults,
            defaults.get(name),
            bounds.BOUND_BY_COLUMN.get((section, name)),
        )
        for name in record._fields
    }
    return Kind(section, record, key_columns, columns)


_NAME = ("name",)

KIND_BY_SECTION: dict[str, Kind] = {
    kind.section: kind
    for kind in (
        _kind("teams", declared.Team, _NAME),
        _kind("models", declared.Model, _NAME),
        _kind("datacentres", declared.Datacentre, _NAME),
        _kind("upstreams", declared.Upstream, _NAME),
        _kind("groups", declared.Group, _NAME),
        _kind("services", declared.PlainService, _NAME),
        _kind("limits", declared.Limit, ("team", "model", "datacentre")),
        _kind("switches", declared.Switches, ()),
    )
}

#: How each section's records are looked up in a ``Declared``.
LOOKUP_BY_SECTION: dict[str, Callable[[declared.Declared], dict]] = {
    "teams": lambda table: table.team_by_name,
    "models": lambda table: table.model_by_name,
    "datacentres": lambda table: table.datacentre_by_name,
    "upstreams": lambda table: table.upstream_by_name,
    "groups": lambda table: table.group_by_name,
    "services": lambda table: table.service_by_name,
    "limits": lambda table: table.limit_by_key,
}
