"""The owner of one scheduling domain and its renewal delegate."""
