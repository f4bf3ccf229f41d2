"""Exit codes of the operators' tool; they are part of its interface."""

import enum


class ExitCode(enum.IntEnum):
    """How a command ended."""

    #: Done, or already so.
    OK = 0
    #: Understood, and not done: nothing was changed.
    REFUSED = 1
    #: The command line, a file or a row is wrong; nothing was changed.
    BAD_INPUT = 2
    #: Somebody else edited the table meanwhile; nothing was changed.
    CONFLICT = 3
    #: The platform or a daemon could not be asked; nothing was changed.
    UNAVAILABLE = 4
    #: The edit may or may not be in the table.
    UNKNOWN = 5
