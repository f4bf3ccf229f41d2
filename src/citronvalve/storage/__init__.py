"""Interfaces to the platform's services and HTTP clients for them."""
