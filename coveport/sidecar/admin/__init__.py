"""The second address: an operator's commands, a line each."""
