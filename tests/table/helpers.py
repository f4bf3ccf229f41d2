"""Helpers shared by the steps about the table."""

import pathlib
import random

from citronvalve.model import clock
from citronvalve.table import document
from citronvalve.table import edit
from citronvalve.table import editor
from citronvalve.table import rowedits
from standins import hostiletable

_EXAMPLE = pathlib.Path("examples/table.json5")


def example():
    """Return the example declaration."""
    return document.parse(_EXAMPLE.read_text(), _EXAMPLE.name)


def new_editor(service, name):
    """Return an operator's editor."""
    return editor.Editor(service, clock.SystemClock(), random.Random(name))


def connection(context):
    """Return ann's connection to the store, which can inject faults."""
    if "connection" not in context:
        context.connection = hostiletable.HostileTable(context.store)
    return context.connection


def apply(context, who, wanted, why="a reason", expected=None):
    """Apply an edit; ann's edits use her own connection to the store."""
    service = connection(context) if who == "ann" else context.store
    author = edit.Author(who, why)
    context.done = new_editor(service, who).apply(wanted, author, expected)


def set_column(context, who, key, column, value, why="a reason"):
    """Set one column."""
    apply(context, who, rowedits.set_columns(key, {column: value}), why)
