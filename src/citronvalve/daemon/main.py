"""Entry point of the ``citronvalved`` server program."""

import sys

import defopt

from citronvalve.daemon import allocator
from citronvalve.daemon import collector
from citronvalve.daemon import green
from citronvalve.model import errors

#: Exit code for invalid settings.
BAD_SETTINGS = 2


def serve(*, settings: str) -> None:
    """Serve callers until SIGTERM.

    :param settings: file of JSON with comments.
    """
    # Imported after monkey patching; otherwise these modules would keep
    # references to the blocking sockets.
    from citronvalve.daemon import daemon
    from citronvalve.daemon import logs
    from citronvalve.daemon import settings as settings_

    collector.resume()
    try:
        loaded = settings_.load(settings)
        handler = logs.JsonHandler(
            loaded.name, loaded.datacentre, loaded.log_level
        )
        handler.push_application()
        server = daemon.Daemon(loaded)
    except errors.SettingsError as error:
        print(f"citronvalved: {error}", file=sys.stderr)
        sys.exit(BAD_SETTINGS)
    server.run()


def main() -> None:
    """Run the program; the exit code is 0 after SIGTERM."""
    collector.pause()
    allocator.return_large_blocks()
    green.patch()
    defopt.run(serve)


if __name__ == "__main__":
    main()
