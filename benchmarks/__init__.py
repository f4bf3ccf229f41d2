"""Measurements, one JSON object a line."""
