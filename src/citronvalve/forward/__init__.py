"""Opaque forwarding: requests and responses pass through unchanged."""
