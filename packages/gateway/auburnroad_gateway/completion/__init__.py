"""From the complete text of an item to its score and its result."""
