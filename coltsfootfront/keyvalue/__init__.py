"""The key-value service: its interface, the etcd adapter, leases and claims."""
