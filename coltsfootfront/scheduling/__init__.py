"""Decides which requests go to targets first when capacity is short."""
