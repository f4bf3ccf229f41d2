"""The record that lets a non-idempotent request run at most once."""
