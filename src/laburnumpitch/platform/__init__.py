"""Translation between the platform's protocol and the package's types, no policy."""
