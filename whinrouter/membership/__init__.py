"""Where the list of hosts comes from, beside the platform's watch."""
