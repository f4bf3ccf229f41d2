"""Whether a request was run, as far as it is known for certain."""

import enum


class Ran(enum.StrEnum):
    """What a refusal or an error says about the work itself."""

    #: Provable only: never sent, or refused by the upstream before running.
    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"
