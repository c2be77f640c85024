"""The agent, which runs on each target's VM, and the adapters for the kinds of target."""
