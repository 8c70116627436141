"""The deployments of the two users, scaled down to one machine."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass


@dataclass(frozen=True)
class Deployment:
    """Sizes and times of one deployment."""

    name: str
    data_centres: tuple[str, ...]
    entries: int
    controls: int
    engines: int
    services: int
    stores: int
    model: str
    service: str
    item: str
    """Item that orders of the demo name."""
    first_token_weight: float
    """Weight of the time to first token against the share of recomputed tokens."""
    weight_load_s: float
    """Time of a load of weights while at most two engines load."""
    piece_tokens: int = 256
    slots: int = 8
    prefill_tokens_per_s: float = 16000.0
    token_s: float = 0.004
    cache_pieces: int = 96
    block_bytes: int = 64 * 1024
    link_bytes_per_s: float = 20e6
    store_memory_bytes: int = 24 * 1024 * 1024
    store_disk_bytes: int = 128 * 1024 * 1024
    organisations: int = 10
    requests_per_s: float = 500.0
    ignore_fences: bool = False
    """Whether engines accept orders with an outdated fence."""

    @property
    def piece_chars(self) -> int:
        """Characters in one piece."""
        return self.piece_tokens * 4


PARAFINA = Deployment(
    "parafina",
    ("temuco", "valdivia", "osorno", "puerto-montt"),
    entries=3,
    controls=3,
    engines=5,
    services=4,
    stores=2,
    model="route-judge",
    service="orders",
    item="lamp-oil",
    first_token_weight=0.9,
    weight_load_s=1.0,
)

STILEPATH = Deployment(
    "stilepath",
    ("edale", "hebden", "malham", "kinder"),
    entries=3,
    controls=3,
    engines=5,
    services=4,
    stores=2,
    model="route-notes",
    service="shop",
    item="walk-sheet",
    first_token_weight=0.2,
    weight_load_s=2.0,
)

DEPLOYMENTS = {item.name: item for item in (PARAFINA, STILEPATH)}

ROOT_KEY = "root-key-of-the-harness"
ANNOUNCE_KEY = "announce-key-of-the-harness"
ENGINE_POOL = "engines"
SERVICE_POOL = "services"
STORE_POOL = "stores"


def hash_key(key: str) -> str:
    """Return the hash of a key, as the document stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


def get_api_key(organisation: str) -> str:
    """Return the API key of an organisation."""
    return f"key-of-{organisation}"


def get_organisation(deployment: Deployment, index: int) -> str:
    """Return the name of one of a deployment's organisations."""
    return f"{deployment.name}-{index}"


def make_organisation_text(
    deployment: Deployment, name: str, requests_per_s: float | None = None
) -> str:
    """Return an organisation's section of the document."""
    rate = requests_per_s or deployment.requests_per_s
    return f"""\
[organisations.{name}]
owner = "customers"
api_key_hashes = ["{hash_key(get_api_key(name))}"]
models = ["{deployment.model}"]
services = ["{deployment.service}"]
requests_per_s = {rate}
first_token_weight = {deployment.first_token_weight}
"""


def make_document(deployment: Deployment, weight_version: str = "v1") -> str:
    """Return the document of a deployment."""
    organisations = "\n".join(
        make_organisation_text(deployment, get_organisation(deployment, index))
        for index in range(deployment.organisations)
    )
    return f"""\
[pools.{ENGINE_POOL}]
owner = "platform"
kind = "engine"
store_pool = "{STORE_POOL}"
weight_store = "weights"

[pools.{STORE_POOL}]
owner = "platform"
kind = "store"

[pools.{SERVICE_POOL}]
owner = "platform"
kind = "service"

[models.{deployment.model}]
owner = "models"
pool = "{ENGINE_POOL}"
weight_version = "{weight_version}"
piece_tokens = {deployment.piece_tokens}

[services.{deployment.service}]
owner = "shop"
pool = "{SERVICE_POOL}"

[[services.{deployment.service}.operations]]
method = "POST"
path = "/orders"
is_idempotent = false

{organisations}"""
