"""The router process: HTTP front end, dispatch of requests to agents, and their responses."""
