"""The questionnaire: answers in users' terms and what they generate."""
