"""Decisions of a fescuequay instance, without input or output."""
