"""Plans the replicas: groups of runners that serve one model together."""
