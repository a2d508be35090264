"""Client connections: operations in, one final response each out."""
