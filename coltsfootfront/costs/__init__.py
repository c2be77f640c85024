"""Estimates of what requests cost at targets, learned from responses."""
