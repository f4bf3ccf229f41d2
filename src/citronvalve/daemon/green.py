"""Switch the process to green threads, before anything else is imported."""

import os
import warnings


def patch() -> None:
    """Make blocking calls yield to other green threads.

    Names are looked up by the C library (we speak to IP numbers only), so
    eventlet's own resolver, which starts by reading files, stays out.
    """
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    with warnings.catch_warnings():
        # Its deprecation is known and weighed in docs/design/house.md;
        # printed at each start it would hide warnings that matter.
        warnings.simplefilter("ignore")
        import eventlet
    eventlet.monkey_patch()
