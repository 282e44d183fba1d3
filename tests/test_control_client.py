"""Tests of the control socket's client."""

from __future__ import annotations

from pathlib import Path

import pytest

from winchspan.control.client import ControlClient
from winchspan.control.protocol import ControlError


def test_client_without_courier_raises_control_error(tmp_path: Path):
    with pytest.raises(ControlError, match="cannot connect to a courier"):
        ControlClient(tmp_path / "none")
