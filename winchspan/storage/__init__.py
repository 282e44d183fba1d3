"""Durable storage on local files: the write-ahead journal and the rotating record files below it."""
