"""Fault-injection soak test: runs the real programs on loopback against stand-ins for the platform and databases."""
