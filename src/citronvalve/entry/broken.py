"""Exception that ends a truncated response."""

from citronvalve.model import errors


class AnswerBroken(errors.CitronvalveError):
    """Raised into the HTTP server so that it closes the connection.

    If the chunked body ended regularly, a client that checks only the HTTP
    framing would take the response for complete.
    """
