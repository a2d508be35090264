"""The data plane: takes clients' requests and forwards them to nodes."""
