"""Proxy instance: caller sessions, connection pools, ports, peers and the coordinator."""
