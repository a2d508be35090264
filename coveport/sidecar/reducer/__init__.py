"""What happens to an operation, whatever the protocol: inputs, effects, the reducer, the phases. No I/O."""
