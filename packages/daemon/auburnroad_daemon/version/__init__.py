"""State that lasts for one weight version, configuration or step."""
