"""The operator's command and the administration API."""
