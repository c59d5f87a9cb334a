"""The quickstart: both deployments on one machine, over stand-ins."""
