"""Decisions under load: state in, decision out, no input or output."""
