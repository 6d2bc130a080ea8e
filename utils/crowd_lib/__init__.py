"""Crowds of clients that don't behave, and the processes that they call."""
