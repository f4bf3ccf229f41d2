"""Tests by area, each a behave suite of its own."""
