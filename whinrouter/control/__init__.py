"""The control address: operators' calls, one line for each connection."""
