"""The instance that relays callers' sessions: ports, sessions, pools, peers and the coordinator."""
