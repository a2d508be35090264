"""The boot settings of a process: types, reading with all faults, reload."""
