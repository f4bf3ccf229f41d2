"""Planning, forming and observing replica groups."""
