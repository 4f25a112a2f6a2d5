"""Fault soak: the real programs as processes on loopback, before stand-ins that speak the platform's protocol."""
