"""What the controllers together know of the cloud's room, and who asks next (docs/supply.md)."""
