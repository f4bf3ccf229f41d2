"""A caller's request as it arrives, before it is understood."""

from typing import Any
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.model import refusal

_KEY_LENGTH = 255
_ID_LENGTH = 128


class Call(NamedTuple):
    """One HTTP request; ``environ`` is as WSGI gives it."""

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
        """Return a header, or an empty string.

        :param name: as in HTTP, any case.
        """
        cgi = name.upper().replace("-", "_")
        plain = {"CONTENT_TYPE", "CONTENT_LENGTH"}
        return self.environ.get(cgi if cgi in plain else f"HTTP_{cgi}", "")

    def body(self, limit: int) -> bytes | refusal.Refusal:
        """Read the body.

        :param limit: most bytes that are accepted.
        """
        said = self.header("Content-Length")
        if said and not said.isdigit():
            return malformed(f"Content-Length is {said!r}")
        if said and int(said) > limit:
            return _too_large(limit)
        read = self.environ["wsgi.input"].read(limit + 1)
        if len(read) > limit:
            return _too_large(limit)
        if said and len(read) < int(said):
            return malformed("the body ended early")
        return read

    def idempotency_key(self) -> str | refusal.Refusal:
        """Return the idempotency key; empty for none."""
        given = self.header("Idempotency-Key")
        if len(given) > _KEY_LENGTH or not given.isprintable():
            return malformed(
                f"an Idempotency-Key has at most {_KEY_LENGTH} characters"
            )
        return given

    def before_key_lookup(self, refused: refusal.Refusal) -> refusal.Refusal:
        """Return a refusal made before the key's record was asked.

        This try was not run, but one with the same key may have been, at
        another daemon or before the table changed.  A caller who reads "no"
        would have its certificate made a second time, under a new key.

        :param refused: the refusal, whatever it says of the run.
        """
        if not self.header("Idempotency-Key"):
            return refused
        return refused._replace(ran=ran.Ran.UNKNOWN)

    def deadline(
        self, default: clock.Ms, longest: clock.Ms
    ) -> clock.Ms | refusal.Refusal:
        """Return the deadline as monotonic ms.

        :param default: ms from arrival, for a caller who states none.
        :param longest: most ms from arrival that are accepted.
        """
        given = self.header("X-Deadline-Ms")
        if not given:
            return self.arrived_at + min(default, longest)
        if not given.isdecimal() or not 0 < int(given) <= longest:
            return malformed(
                f"X-Deadline-Ms is {given[:20]!r}; it takes a whole number "
                f"of ms from 1 to {longest}"
            )
        return self.arrived_at + int(given)


def request_id(environ: dict[str, Any], fresh: str) -> str:
    """Return the caller's own id for a request if it is fit for logs.

    :param environ: as WSGI gives it.
    :param fresh: used when there is none.
    """
    given = environ.get("HTTP_X_REQUEST_ID", "")
    fit = given.isascii() and given.isprintable() and " " not in given
    return given if fit and 0 < len(given) <= _ID_LENGTH else fresh


def malformed(detail: str) -> refusal.Refusal:
    """Return the refusal of a request that can't be understood.

    :param detail: what is wrong, with the value seen.
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
        "send a shorter one",
    )
