"""A soak of real gateway processes on loopback under overlapping troubles, judged from outside and inside."""
