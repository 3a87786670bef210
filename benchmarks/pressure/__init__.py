"""Misbehaving and slow peers in large numbers against one gateway process with little memory."""
