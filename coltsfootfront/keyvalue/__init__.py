"""Key-value store: interface, etcd adapter, lease-based locks and idempotency claims."""
