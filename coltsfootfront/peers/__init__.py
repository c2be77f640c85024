"""Connections between the system's own processes, their messages, and who is there."""
