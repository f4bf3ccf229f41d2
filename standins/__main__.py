"""Start a stand-in as a process: ``python -m standins engine ...``."""

import importlib
import sys

from citronvalve.daemon import green

_NAMES = ("engine", "records", "platformserver", "experiment.loader")


def main() -> None:
    """Patch first, then import and run the stand-in that is named."""
    if len(sys.argv) < 2 or sys.argv[1] not in _NAMES:
        sys.exit(f"name one of {', '.join(_NAMES)}")
    green.patch()
    # The module must see patched sockets from its first import on.
    module = importlib.import_module(f"standins.{sys.argv.pop(1)}")
    module.main()


if __name__ == "__main__":
    main()
