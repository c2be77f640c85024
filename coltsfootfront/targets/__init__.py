"""The agent beside each target, and the adapters of the kinds of target."""
