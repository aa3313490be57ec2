"""The forwarder: a process that accepts messages, journals them, and delivers each or reports that it could not."""
