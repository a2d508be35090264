"""The operator's configuration: read, validated, patched, and kept as acknowledged state. No I/O."""
