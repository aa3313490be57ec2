"""What drives whole fleets of the program: the demo, and the measurements."""
