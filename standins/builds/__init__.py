"""Runs daemons of two builds in one fleet."""
