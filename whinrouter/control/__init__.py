"""The control address: operators' calls, one line a connection."""
