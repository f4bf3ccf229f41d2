"""Processor time and memory of a process, as the kernel counts them."""

import os
import pathlib

_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")

#: Places of utime and stime in /proc/PID/stat behind the name.
_USER, _SYSTEM, _RESIDENT = 11, 12, 21


def _fields(pid: int) -> list[str]:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    return text.rpartition(")")[2].split()


def cpu_seconds(pid: int) -> float:
    """Return the processor time used so far.

    :param pid: the process.
    """
    fields = _fields(pid)
    return (int(fields[_USER]) + int(fields[_SYSTEM])) / _TICKS


def resident_bytes(pid: int) -> int:
    """Return the resident memory.

    :param pid: the process.
    """
    return int(_fields(pid)[_RESIDENT]) * _PAGE
