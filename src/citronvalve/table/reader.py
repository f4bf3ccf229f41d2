"""Reads the table from the platform."""

from citronvalve.model import declared
from citronvalve.model import missing
from citronvalve.storage import tableservice
from citronvalve.table import builder
from citronvalve.table import layout
from citronvalve.table import mistake
from citronvalve.table import state


def read_state(
    service: tableservice.TableService, previous: state.State = state.EMPTY
) -> state.State | missing.Unavailable:
    """Read the stored rows.

    :param service: the platform's table service.
    :param previous: an earlier state; only later changes are read.
    """
    scan = service.scan(layout.TABLE, previous.revision)
    if missing.is_missing(scan):
        return scan
    return state.fold(previous, scan)


def read(
    service: tableservice.TableService,
) -> declared.Declared | missing.Unavailable:
    """Read the current table; version 0 if there is none.

    :param service: the platform's table service.
    :raises mistake.MistakesError: if a stored row is invalid.
    """
    stored = read_state(service)
    if missing.is_missing(stored):
        return stored
    return build_declared(stored)


def build_declared(stored: state.State) -> declared.Declared:
    """Build the typed table from stored rows.

    :param stored: all rows.
    :raises mistake.MistakesError: if a stored row is invalid.
    """
    values = dict(builder.drop_unknown(stored.value_by_key.items()))
    found = builder.build_full(values, stored.version)
    if found.mistakes:
        raise mistake.MistakesError(found.mistakes)
    return found.table
