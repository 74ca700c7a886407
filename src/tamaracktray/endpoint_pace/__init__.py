"""Placement of calls on endpoints that are slower than others."""
