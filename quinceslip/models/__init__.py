"""Model checkers that run the coordination code itself (`quinceslip model`); controllers never import them."""
