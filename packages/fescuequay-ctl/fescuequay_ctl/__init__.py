"""Command line tool for the operators of a fleet."""
