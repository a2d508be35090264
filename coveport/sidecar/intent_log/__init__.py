"""Work in hand: what was taken and not yet answered, so that another can go on with it, once."""
