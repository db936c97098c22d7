"""Weight versions: who gives the orders and in which order."""
