"""Checks at run time of the invariants that hold for every request: events, guards, counts of violations."""
