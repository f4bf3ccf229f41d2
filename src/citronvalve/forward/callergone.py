"""The error for a caller that has closed its connection."""

from citronvalve.model import errors


class CallerGoneError(errors.CitronvalveError):
    """The caller of the request has disconnected."""
