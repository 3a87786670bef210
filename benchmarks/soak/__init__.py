"""A soak of real gateway processes on loopback: overlapping disruptions, checked from outside and inside."""
