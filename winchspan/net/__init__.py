"""The sockets side: it turns what happened into events and carries out actions, and judges nothing."""
