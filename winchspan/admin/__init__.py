"""The operators' front: HTTP/1.1 calls at a second address. `docs/admin.md` says how it is made."""
