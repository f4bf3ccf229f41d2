"""Tables and keys of the operators' table in the platform's table service.

The head row is in the same table as the other rows, so that one scan reads
both at one revision; between two reads an edit could be committed.
"""

#: Table that holds the head and all rows.
TABLE = "table"

#: Table that holds the audit entries by version.
AUDIT = "audit"

#: Key of the row with the version and the id of the last edit.
HEAD = "head"

#: Separates the section and the names in a key; limits have several names.
SEPARATOR = "/"


def key(section: str, *names: str) -> str:
    """Return the key of a row.

    :param section: one of the sections of a declaration.
    :param names: the name or names that identify the row.
    """
    return SEPARATOR.join((section, *names))


def audit_key(version: int, part: int = 0) -> str:
    """Return the key of an audit entry; it sorts by version.

    :param version: the version that the edit created.
    :param part: 0 for the entry, from 1 for further parts of its changes.
    """
    return f"{version:010d}" + (f".{part:04d}" if part else "")
