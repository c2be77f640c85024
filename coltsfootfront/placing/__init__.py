"""Where a request is tried: policies, probes, breakers, budgets of links."""
