"""The declared configuration: routes, services, engines and API keys."""
