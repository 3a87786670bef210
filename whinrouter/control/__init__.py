"""The second address: calls of operators, one line to a connection."""
