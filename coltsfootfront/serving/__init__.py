"""The router: callers' requests, their attempts and their answers."""
