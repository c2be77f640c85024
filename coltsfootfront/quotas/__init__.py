"""Quotas of customers, which all routers keep together without asking each other first."""
