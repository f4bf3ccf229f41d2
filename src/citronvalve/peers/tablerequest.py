"""A request for rows of the table."""

from typing import NamedTuple

from citronvalve.peers import tablepage


class TableRequest(NamedTuple):
    """Requests the page of rows after ``start``."""

    start: tablepage.Cursor
