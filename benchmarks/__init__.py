"""Measurements that are too long or too noisy for CI; each module is a command (`python -m`)."""
