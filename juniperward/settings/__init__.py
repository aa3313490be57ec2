"""The settings files that operators write: parsing, and checks that name file, line and field."""
