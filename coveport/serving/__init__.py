"""The serving system: proxies before model servers, and the coordinators that tell them what is in force."""
