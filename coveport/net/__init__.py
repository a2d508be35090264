"""Clock and sockets: the only way of the program to the outside."""
