"""Raised in a handler when its caller has closed the connection."""

from citronvalve.model import errors


class CallerGoneError(errors.CitronvalveError):
    """Nobody waits for the answer any more."""
