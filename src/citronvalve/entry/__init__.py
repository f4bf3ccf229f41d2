"""The callers' HTTP interface."""
