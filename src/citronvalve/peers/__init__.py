"""What daemons tell each other: membership, gossip and grants."""
