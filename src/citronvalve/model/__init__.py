"""Shared records, errors, missing values and the clock.

Imports no other package of the project.
"""
