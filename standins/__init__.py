"""Small fakes of the outside systems, which misbehave on order."""
