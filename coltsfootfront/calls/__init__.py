"""Decoding of callers' requests: body, path, prompt blocks and headers."""
