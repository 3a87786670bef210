"""Membership from ZooKeeper-style ephemeral nodes: the client protocol, without I/O."""
