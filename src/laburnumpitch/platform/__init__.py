"""Translation between the platform's protocol and the package's types, no policy.

Classes named `Wire*` mirror the protocol's objects and keep its field names.
"""
