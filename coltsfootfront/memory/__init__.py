"""Account of the memory and descriptors that other parties can make a router hold."""
