"""Deterministic simulation of callers, targets, the table and the network around real instances."""
