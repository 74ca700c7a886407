"""Checks a routing configuration before it is sent."""
