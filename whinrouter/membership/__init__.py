"""The list of hosts: retry policy and format of the discovery watch, start times, ZooKeeper's protocol."""
