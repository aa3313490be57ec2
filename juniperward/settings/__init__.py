"""The operators' settings: protobuf text format, and the checks that name file, line and field."""
