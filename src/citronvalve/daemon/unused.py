"""Modules of the standard library that a daemon runs without."""

import sys

#: OpenSSL takes five megabytes.  The platform speaks plain HTTP, and the
#: hashes of the standard library have other implementations.
_WITHOUT = ("ssl", "_ssl", "_hashlib")


def leave_out() -> None:
    """Let imports of the modules fail; their importers go without them.

    Called before anything else is imported; a module that is imported already
    stays.
    """
    modules: dict = sys.modules
    for name in _WITHOUT:
        modules.setdefault(name, None)
