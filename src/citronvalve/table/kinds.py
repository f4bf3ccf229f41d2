"""The kinds of rows and their columns."""

import re
import typing
from typing import Annotated, Any, NamedTuple

import msgspec

from citronvalve.model import declared
from citronvalve.table import bounds
from citronvalve.table import layout


#: Names are used in keys, URLs, metric labels and logs.  With the separator
#: of keys or with blanks, two rows could get the same key.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,62}")

#: Characters in a text column; without a limit one row could fill the store.
MAX_TEXT_LENGTH = 512

#: Entries of a column that holds a list.
MAX_LIST_LENGTH = 64


class Column(NamedTuple):
    """One column; ``required`` if it has no default."""

    name: str
    type: Any
    required: bool
    default: Any
    bound: bounds.Bound | None


class Kind(NamedTuple):
    """One kind of row: its section in a declaration and its record type.

    ``field`` is the field of ``Declared`` that holds the rows by name, or
    the single row of switches.  ``struct`` validates a complete row.
    """

    section: str
    field: str
    record: type
    key_columns: tuple[str, ...]
    column_by_name: dict[str, Column]
    struct: type[msgspec.Struct]

    def key_of(self, row: dict[str, Any]) -> str:
        """Return the key of a row's value.

        :param row: the columns with their values.
        """
        names = (str(row[name]) for name in self.key_columns)
        return layout.key(
            self.section, *(names if self.key_columns else SWITCHES_NAMES)
        )


#: The names in the key of the single row of switches.
SWITCHES_NAMES = ("all",)


def _make_kind(
    section: str, field: str, record: Any, key_columns: tuple[str, ...]
) -> Kind:
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
    struct = msgspec.defstruct(
        section,
        [_struct_field(column, key_columns) for column in columns.values()],
        forbid_unknown_fields=True,
    )
    return Kind(section, field, record, key_columns, columns, struct)


def _struct_field(column: Column, key_columns: tuple[str, ...]) -> tuple:
    """Return a struct field that accepts the same values as the column.

    A struct stops at the first invalid value; a row that it rejects is
    checked column by column to report all mistakes.
    """
    meta = msgspec.Meta()
    if column.bound:
        meta = msgspec.Meta(ge=column.bound.low, le=column.bound.high)
    elif column.name in key_columns:
        meta = msgspec.Meta(pattern=f"^{NAME_PATTERN.pattern}$")
    elif column.type is str:
        meta = msgspec.Meta(max_length=MAX_TEXT_LENGTH)
    elif typing.get_origin(column.type) is tuple:
        meta = msgspec.Meta(max_length=MAX_LIST_LENGTH)
    field = (column.name, Annotated[column.type, meta])
    return field if column.required else (*field, column.default)


_NAME_COLUMN = ("name",)

KIND_BY_SECTION: dict[str, Kind] = {
    kind.section: kind
    for kind in (
        _make_kind("teams", "team_by_name", declared.Team, _NAME_COLUMN),
        _make_kind("models", "model_by_name", declared.Model, _NAME_COLUMN),
        _make_kind(
            "datacentres",
            "datacentre_by_name",
            declared.Datacentre,
            _NAME_COLUMN,
        ),
        _make_kind(
            "upstreams", "upstream_by_name", declared.Upstream, _NAME_COLUMN
        ),
        _make_kind("groups", "group_by_name", declared.Group, _NAME_COLUMN),
        _make_kind(
            "services", "service_by_name", declared.PlainService, _NAME_COLUMN
        ),
        _make_kind(
            "limits",
            "limit_by_key",
            declared.Limit,
            ("team", "model", "datacentre"),
        ),
        _make_kind("switches", "switches", declared.Switches, ()),
    )
}
