"""Mutation tests: small changes to decisions in the code that the tests must detect."""
