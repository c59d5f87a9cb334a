"""Two small example deployments of wigeonfront on stand-ins of a platform."""
