"""The composition root: builds a courier's components and runs their lifecycle."""
