"""Why a probe of a runner had no report."""

import enum


class ProbeFailure(enum.StrEnum):
    """How a probe failed, which tells a pause from a death."""

    #: Nothing listens at the runner's address.
    REFUSED = "refused"
    #: No connection was opened in time.
    UNREACHED = "unreached"
    #: The request was sent, and no answer came in time.
    SILENT = "silent"
    #: The connection broke before the answer.
    BROKEN = "broken"
    #: The answer is not the runner's report.
    NO_REPORT = "no report"
