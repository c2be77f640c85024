"""Direct routing: the router sends requests directly to targets on VMs that have no agent."""
