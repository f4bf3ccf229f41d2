"""Settings of the C library's allocator."""

#: Parameters of ``mallopt`` and their values in bytes.
_MMAP_THRESHOLD = -3
_TRIM_THRESHOLD = -1
_VALUE_BY_PARAMETER = {_MMAP_THRESHOLD: 131_072, _TRIM_THRESHOLD: 1_048_576}


def return_large_blocks() -> None:
    """Let large blocks go back to the system once they are freed.

    By default, the size from which a block is mapped on its own rises to that
    of the largest one that was freed.  Bodies then lie in the heap, which
    keeps what is freed below any block in use.  Where the C library has no
    such settings, nothing changes.
    """
    try:
        import ctypes

        set_parameter = ctypes.CDLL(None).mallopt
    except (ImportError, OSError, AttributeError):
        return
    for parameter, value in _VALUE_BY_PARAMETER.items():
        set_parameter(parameter, value)
