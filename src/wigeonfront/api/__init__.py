"""The HTTP API of an entry under ``/v1``.

`front` dispatches a call by its method and path; `lots`, `requests`, `operations` and
`quarantine` answer it; `messages` defines the bodies. Behind the API stands the same
core as behind the platform's front. The package starts no background tasks.
"""

from wigeonfront.api.front import ApiFront

__all__ = ["ApiFront"]
