"""Direct routing: the router sends requests straight to targets on VMs that have no agent."""
