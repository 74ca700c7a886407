"""Stand-ins for the users' platform, written after its published protocol."""
