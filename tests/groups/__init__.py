"""Tests of replica groups."""
