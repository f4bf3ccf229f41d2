"""The row that ensures that a key runs at most once."""

from typing import Any
from typing import NamedTuple

import msgspec

from citronvalve.model import clock
from citronvalve.once import state
from citronvalve.once import storedresponse as storedresponses

#: Name of the platform table that holds the rows.
TABLE = "once"


class Record(NamedTuple):
    """The row of a key.

    ``digest`` binds the key to one request, and ``attempt`` is the ID of
    its only dispatch.  ``until`` is the wall time in ms after which a
    pending row counts as abandoned by a daemon that died.
    """

    digest: str
    attempt: str
    state: state.State
    until: clock.Ms
    kept: storedresponses.StoredResponse | None = None


def row_key(team: str, key: str) -> str:
    """Return the row key of an idempotency key; it is unique to the team.

    :param team: name of the team, which contains no slash.
    :param key: idempotency key of the caller.
    """
    return f"{team}/{key}"


def encode(record: Record) -> dict[str, Any]:
    """Return the value of a row, with field names readable by operators.

    :param record: the record to encode.
    """
    return dict(zip(Record._fields, msgspec.to_builtins(record), strict=True))


def decode(value: dict[str, Any]) -> Record:
    """Return the record of the value of a row.

    :param value: value read from the table service.
    :raises msgspec.ValidationError: if the value is not a valid record.
    """
    fields = [value.get(name) for name in Record._fields]
    return msgspec.convert(fields, Record)
