"""A randomized soak test of the real processes against platform stand-ins."""
