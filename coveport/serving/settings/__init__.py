"""The boot settings of a process: typed, checked whole."""
