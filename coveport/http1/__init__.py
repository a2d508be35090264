"""HTTP/1.1: the codec, the client side and the node side."""
