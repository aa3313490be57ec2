"""The forwarder: one process that takes messages, journals them and delivers each or tells its end."""
