"""The gateway's network side: sockets, HTTP and the driver of the decision module."""
