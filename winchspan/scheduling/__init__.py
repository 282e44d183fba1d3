"""The decisions: which message goes to which endpoint, and when."""
