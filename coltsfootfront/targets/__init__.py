"""The agent, which runs on each target's VM, and the clients for each kind of target."""
