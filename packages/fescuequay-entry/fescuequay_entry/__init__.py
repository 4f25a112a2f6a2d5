"""The entry instance: adapters around the core."""
