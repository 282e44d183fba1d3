"""The delivery engine: accepts messages, runs the scheduler, and records attempts and final answers."""
