"""Stand-ins for the peers of a gateway: servers and clients with scripted faults, for tests; not shipped."""
