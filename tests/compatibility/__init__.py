"""Samples of files, frames and lines that an earlier program wrote, and the code that wrote them."""
