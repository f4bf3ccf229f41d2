"""The result of decoding a configuration file."""

from typing import NamedTuple

from citronvalve.model import finding
from citronvalve.routes import draft as drafts


class Reading(NamedTuple):
    """A draft and the findings of the decoder.

    ``draft`` is None if an entry can't be decoded.
    """

    draft: drafts.Draft | None
    findings: tuple[finding.Finding, ...]
