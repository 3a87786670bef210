"""One process of a gateway takes over from another: what it is told, and the channel between them."""
