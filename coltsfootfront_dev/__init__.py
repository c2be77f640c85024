"""Development tools: stand-ins for outside systems, fleet launcher, demo and load tool."""
