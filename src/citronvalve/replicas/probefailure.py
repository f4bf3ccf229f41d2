"""Why a probe of a runner had no report."""

import enum


class ProbeFailure(enum.StrEnum):
    """How a probe on a new connection failed."""

    #: Nothing listens at the runner's address.
    REFUSED = "refused"
    #: No connection was opened in time.
    UNREACHED = "unreached"
    #: A connection was opened, and no answer came in time.
    SILENT = "silent"
    #: A connection was opened, and broke before the answer.
    BROKEN = "broken"
    #: The answer is not the runner's report.
    NO_REPORT = "no report"


#: Failures that a runner which only pauses causes, too: its host is up and
#: something listens there.
PAUSE_LIKE = frozenset({ProbeFailure.SILENT, ProbeFailure.BROKEN})
