"""The command line: `coveport run`, `check` and `lab`."""
