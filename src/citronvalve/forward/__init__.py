"""Opaque forwarding: requests go on unchanged and answers come back so."""
