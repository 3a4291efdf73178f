"""Platform: translate between the users' platform and the product."""
