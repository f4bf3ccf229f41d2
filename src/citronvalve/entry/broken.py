"""The end of an answer that must not look like a clean one."""

from citronvalve.model import errors


class AnswerBroken(errors.CitronvalveError):
    """Raised into the server so that it closes the connection.

    A chunked body that ends in its last chunk looks whole to a client that
    reads no further than HTTP.
    """
