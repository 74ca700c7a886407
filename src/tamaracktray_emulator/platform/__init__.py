"""Stand-ins for the users' platform, implementing its published protocol."""
