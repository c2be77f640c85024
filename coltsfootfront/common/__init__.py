"""What every program needs: time, errors, logs, metrics, settings, start and stop."""
