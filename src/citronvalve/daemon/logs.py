"""Log handler that writes one JSON object a line to standard error."""

import datetime
import sys

import logbook
import msgspec


class JsonHandler(logbook.StreamHandler):
    """Writes the fields of a record as one JSON object.

    :param name: the daemon's name, on every line.
    :param datacentre: its data centre, on every line.
    :param level: lowest level written.
    """

    def __init__(self, name: str, datacentre: str, level: str) -> None:
        super().__init__(sys.stderr, level=level)
        self._common = {"daemon": name, "datacentre": datacentre}

    def format(self, record: logbook.LogRecord) -> str:
        """Return a record as a line of JSON.

        :param record: the log record.
        """
        at = record.time.replace(tzinfo=datetime.UTC)
        line = {
            "time": at.isoformat(timespec="milliseconds"),
            "level": record.level_name,
            "channel": record.channel,
            "message": record.message,
            **self._common,
            **record.extra,
        }
        if record.formatted_exception:
            line["exception"] = record.formatted_exception
        return msgspec.json.encode(line, enc_hook=str).decode()
