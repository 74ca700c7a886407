"""Retries of callers that were refused for lack of capacity."""
