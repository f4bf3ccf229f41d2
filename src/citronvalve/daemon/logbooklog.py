"""The decision log of a daemon that logs with logbook."""

from typing import Any

import logbook

from citronvalve.model import decisionlog


class LogbookLog(decisionlog.DecisionLog):
    """Logs decisions as records with extra fields.

    :param log: takes the records.
    """

    def __init__(self, log: logbook.Logger) -> None:
        self._log = log

    def note(self, event: str, request: str = "", **inputs: Any) -> None:
        self._log.debug(event, extra={"request": request, **inputs})

    def change(self, event: str, **inputs: Any) -> None:
        self._log.info(event, extra=inputs)
