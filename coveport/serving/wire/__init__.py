"""What crosses sockets: the outside world's names, and the frames between our own processes."""
