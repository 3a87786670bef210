"""Bodies that are passed on while they come. No I/O."""
