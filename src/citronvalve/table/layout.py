"""Where the operators' table lies in the platform's table service.

The head row lies among the rows, so that one scan gives both at one
revision: read apart, an edit could land between the two.
"""

#: Table of the platform's service that holds the head and all rows.
TABLE = "table"

#: Table that holds the audit entries, one key a version.
AUDIT = "audit"

#: Key of the row that holds the version and the id of the last edit.
HEAD = "head"

#: Separates the section, the name and, in limits, the names of a key.
SEPARATOR = "/"


def key(section: str, *names: str) -> str:
    """Return the key of a row.

    :param section: one of the sections of a declaration.
    :param names: its name, or the names that identify it.
    """
    return SEPARATOR.join((section, *names))


def audit_key(version: int, part: int = 0) -> str:
    """Return the key of an audit entry; it sorts by version.

    :param version: the version that the edit made.
    :param part: 0 for the entry; 1 and on for what did not fit into it.
    """
    return f"{version:010d}" + (f".{part:04d}" if part else "")
