"""What a caller asks for: body, path, prompt blocks, headers."""
