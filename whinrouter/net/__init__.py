"""The gateway: real sockets round the decision module."""
