"""Code that every program shares: clock, errors, logs, metrics, settings, start and stop."""
