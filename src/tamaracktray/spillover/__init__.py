"""Spill-over: which zones may serve a call, and in which order they are tried."""
