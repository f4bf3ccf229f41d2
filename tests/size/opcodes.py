"""Counts executed bytecode, a measure of work that no load disturbs."""

import sys


def count(call):
    """Return how many Python instructions a call executes.

    :param call: called without arguments.
    """
    executed = 0

    def trace(frame, event, _):
        nonlocal executed
        frame.f_trace_opcodes = True
        executed += event == "opcode"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(previous)
    return executed
