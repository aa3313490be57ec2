"""The demo and the measurements, which run fleets of real forwarders or drive parts of one."""
