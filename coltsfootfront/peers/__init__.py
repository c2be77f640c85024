"""Peer-to-peer connections and messages between processes, and cluster membership."""
