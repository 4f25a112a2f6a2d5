"""Stand-ins for database groups, the platform and the balancer."""
