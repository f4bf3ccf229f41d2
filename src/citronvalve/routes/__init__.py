"""Declared routes: which request goes to which service, and for whom."""
