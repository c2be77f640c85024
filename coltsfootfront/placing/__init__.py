"""Placement of requests: policies, probes, circuit breakers and cross-region byte budgets."""
