"""The row that lets a key run at most once."""

from typing import Any
from typing import NamedTuple

import msgspec

from citronvalve.model import clock
from citronvalve.once import state
from citronvalve.once import storedresponse as storedresponses

#: The table of the platform that holds the rows.
TABLE = "once"


class Record(NamedTuple):
    """What is known of a key.

    ``digest`` binds the key to one request and ``attempt`` to the one
    dispatch of it.  ``until`` is the wall time in ms after which a pending
    row is taken as left behind by a daemon that died.
    """

    digest: str
    attempt: str
    state: state.State
    until: clock.Ms
    kept: storedresponses.StoredResponse | None = None


def row_key(team: str, key: str) -> str:
    """Return the key of the row; two teams never share one.

    :param team: name of the team, which holds no slash.
    :param key: the caller's own key.
    """
    return f"{team}/{key}"


def encode(record: Record) -> dict[str, Any]:
    """Return the value of a row, as names that operators can read.

    :param record: what to write.
    """
    return dict(zip(Record._fields, msgspec.to_builtins(record), strict=True))


def decode(value: dict[str, Any]) -> Record:
    """Read the value of a row.

    :param value: as the table service gave it.
    :raises msgspec.ValidationError: when it is no record.
    """
    fields = [value.get(name) for name in Record._fields]
    return msgspec.convert(fields, Record)
