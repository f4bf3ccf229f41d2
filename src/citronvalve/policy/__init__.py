"""Load-dependent decisions: admission, placement, retries; no I/O."""
