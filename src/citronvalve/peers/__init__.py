"""Communication among daemons: membership, gossip, loans and messages."""
