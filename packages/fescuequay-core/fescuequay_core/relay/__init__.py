"""Decisions about callers' sessions that are relayed, statement by statement, to target connections."""
