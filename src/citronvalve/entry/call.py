"""A caller's HTTP request, before its body is parsed."""

from typing import Any
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.model import refusal

_MAX_KEY_LENGTH = 255
_MAX_ID_LENGTH = 128


class Call(NamedTuple):
    """One HTTP request.

    ``request`` is its id, ``arrived_at`` monotonic ms and ``environ`` the
    WSGI environment.
    """

    request: str
    arrived_at: clock.Ms
    environ: dict[str, Any]

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return self.environ["REQUEST_METHOD"]

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.environ["PATH_INFO"]

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string.

        :param name: case-insensitive header name.
        """
        variable = name.upper().replace("-", "_")
        unprefixed = {"CONTENT_TYPE", "CONTENT_LENGTH"}
        return self.environ.get(
            variable if variable in unprefixed else f"HTTP_{variable}", ""
        )

    def body(self, limit: int) -> bytes | refusal.Refusal:
        """Read and return the body.

        :param limit: largest accepted size in bytes.
        """
        declared_length = self.header("Content-Length")
        if declared_length and not declared_length.isdigit():
            return malformed(f"Content-Length is {declared_length!r}")
        if declared_length and int(declared_length) > limit:
            return _too_large(limit)
        received = self.environ["wsgi.input"].read(limit + 1)
        if len(received) > limit:
            return _too_large(limit)
        if declared_length and len(received) < int(declared_length):
            return malformed("the body is shorter than its Content-Length")
        return received

    def idempotency_key(self) -> str | refusal.Refusal:
        """Return the idempotency key, or an empty string."""
        key = self.header("Idempotency-Key")
        if len(key) > _MAX_KEY_LENGTH or not key.isprintable():
            return malformed(
                f"an Idempotency-Key has at most {_MAX_KEY_LENGTH} characters"
            )
        return key

    def before_key_lookup(self, refused: refusal.Refusal) -> refusal.Refusal:
        """Return a refusal that was made before the key was looked up.

        This attempt did not run, but an earlier one with the same key may
        have, at another daemon or before the table changed.  If ``ran``
        were "no", the caller would order its certificate again under a new
        key.

        :param refused: the refusal; its ``ran`` is replaced if there is a
            key.
        """
        if not self.header("Idempotency-Key"):
            return refused
        return refused._replace(ran=ran.Ran.UNKNOWN)

    def deadline(
        self, default: clock.Ms, max_deadline: clock.Ms
    ) -> clock.Ms | refusal.Refusal:
        """Return the deadline in monotonic ms.

        :param default: ms from arrival if the caller gives no deadline.
        :param max_deadline: largest accepted value in ms from arrival.
        """
        value = self.header("X-Deadline-Ms")
        if not value:
            return self.arrived_at + min(default, max_deadline)
        if not value.isdecimal() or not 0 < int(value) <= max_deadline:
            return malformed(
                f"X-Deadline-Ms is {value[:20]!r}; it must be a whole number "
                f"of ms from 1 to {max_deadline}"
            )
        return self.arrived_at + int(value)


def request_id(environ: dict[str, Any], default: str) -> str:
    """Return the caller's request id if it is safe to log.

    :param environ: the WSGI environment.
    :param default: returned if there is no usable id.
    """
    value = environ.get("HTTP_X_REQUEST_ID", "")
    valid = value.isascii() and value.isprintable() and " " not in value
    return value if valid and 0 < len(value) <= _MAX_ID_LENGTH else default


def malformed(detail: str) -> refusal.Refusal:
    """Return the refusal of a malformed request.

    :param detail: what is wrong, with the offending value.
    """
    return refusal.Refusal(
        refusal.RefusalKind.MALFORMED,
        detail,
        "correct the request and send it again",
    )


def _too_large(limit: int) -> refusal.Refusal:
    return refusal.Refusal(
        refusal.RefusalKind.TOO_LARGE,
        f"the body has more than {limit} bytes",
        "send a shorter body",
    )
