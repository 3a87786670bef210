"""Handover between two processes of one gateway: channel, messages and transfer of connections."""
