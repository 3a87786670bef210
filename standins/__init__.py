"""Stand-ins for what a gateway meets: servers with scripted faults. Checked like the code, not shipped."""
