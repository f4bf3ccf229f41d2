"""Collection of garbage while the program is imported."""

import gc


def pause() -> None:
    """Stop collections until :func:`resume`; called before the imports.

    Imports create many objects and hardly any garbage.
    """
    gc.disable()


def resume() -> None:
    """Collect again, but for what was imported, which is never garbage."""
    gc.freeze()
    gc.enable()
