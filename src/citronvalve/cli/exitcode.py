"""Exit codes of the operators' tool, which are part of its interface."""

import enum


class ExitCode(enum.IntEnum):
    """Result of a command."""

    #: The command succeeded, or there was nothing to change.
    OK = 0
    #: The command was valid but was not carried out; nothing was changed.
    REFUSED = 1
    #: A check has findings.
    FINDINGS = 1
    #: The command line, a file or a row is invalid; nothing was changed.
    BAD_INPUT = 2
    #: The table was edited concurrently; nothing was changed.
    CONFLICT = 3
    #: The platform or a daemon could not be reached; nothing was changed.
    UNAVAILABLE = 4
    #: It is unknown whether the edit was committed.
    UNKNOWN = 5
