"""The configuration document, its revisions, and how processes take them over."""
