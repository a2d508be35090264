"""What a coordinator keeps on its disk: a ring of preallocated files. Torn writes are survived."""
