"""Decides which requests go to targets when capacity is short."""
