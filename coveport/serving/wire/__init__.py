"""External names of the HTTP interfaces, and the framed messages between this system's own processes."""
