"""Stand-ins for clients, databases and the platform; they need nothing but the standard library."""
