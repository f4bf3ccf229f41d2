"""Whether a request was executed, as far as that is certain."""

import enum


class Ran(enum.StrEnum):
    """Whether a request with a refusal or an error was executed."""

    #: Only if proven: never sent, or rejected by the upstream before running.
    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"
