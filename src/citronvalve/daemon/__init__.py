"""The serving program: wiring of tasks."""
