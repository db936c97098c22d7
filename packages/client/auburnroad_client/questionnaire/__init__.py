"""Questionnaire, and the configuration generated from its answers."""
