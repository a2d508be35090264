"""The operator's configuration: read and checked whole, patched, and kept as acknowledged state. Pure."""
