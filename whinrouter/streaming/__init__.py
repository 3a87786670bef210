"""Bodies that are passed on while they arrive. No I/O."""
