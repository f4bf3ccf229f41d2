"""Clients that break the limits of a port, many at a time."""
