"""What operators see: log lines and counters."""
