"""Groups of runners that serve one model together on the users' engines."""
