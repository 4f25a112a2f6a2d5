"""Stand-ins for database groups, the platform and the balancer, for tests and measurements."""
