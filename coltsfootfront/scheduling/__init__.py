"""Decisions on which work runs when capacity is short; nothing here uses a network."""
