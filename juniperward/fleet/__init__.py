"""What is decided about many instances: pure, without clock, thread or I/O."""
