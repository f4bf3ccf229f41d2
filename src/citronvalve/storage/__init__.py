"""What the platform gives, as interfaces and as HTTP clients of them."""
