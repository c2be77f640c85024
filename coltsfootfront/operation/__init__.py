"""Administration API, the operators' command line and log analysis."""
