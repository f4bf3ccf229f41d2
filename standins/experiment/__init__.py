"""Load on real daemons under planned events, and what callers saw."""
