"""Socket I/O: turns input into events and carries out actions; other packages make the decisions."""
