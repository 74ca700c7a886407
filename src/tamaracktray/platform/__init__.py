"""Adapter to the users' platform; translates names and formats, makes no decisions."""
