"""Adapter to the users' platform: translates its wire formats into the router's own types."""
