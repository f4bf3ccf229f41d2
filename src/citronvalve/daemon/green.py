"""Monkey patching for green threads; runs before all other imports."""

import os
import warnings


def patch() -> None:
    """Make blocking calls yield to other green threads.

    Addresses are IP numbers only, so names are left to the C library;
    eventlet's own resolver, which reads files on start, is disabled.
    """
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    with warnings.catch_warnings():
        # eventlet's deprecation is discussed in docs/design/house.md.
        # Printing the warning at each start would hide relevant ones.
        warnings.simplefilter("ignore")
        import eventlet
    eventlet.monkey_patch()
