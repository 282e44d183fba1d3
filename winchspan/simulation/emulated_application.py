"""Runs a courier's unchanged application in a process of an emulated machine."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, cast

from winchspan.__main__ import add_signal_handlers
from winchspan.application.application import Application, ProcessContext
from winchspan.application.component import OperatorOptions
from winchspan.application.components import create_components
from winchspan.config.platform import load_platform_config
from winchspan.config.reload import continue_platform_config
from winchspan.simulation.incarnation import Incarnation


class RunningApplication(NamedTuple):
    """A courier's application, and the task that runs it."""

    application: Application
    run_task: asyncio.Task[None]


def run_application(
    incarnation: Incarnation, operator: OperatorOptions, context: ProcessContext
) -> RunningApplication:
    """Start a courier's application, which crashes when its incarnation ends.

    Args:
        incarnation: the process, which is also the courier's event loop.
        operator: options of the operator's file.
        context: system, whose environment has the path of the platform's configuration, and inherited state.

    Returns:
        The running application.
    """
    loop = cast("asyncio.AbstractEventLoop", incarnation)  # it has the methods that a courier uses
    system, state = context.system, context.inherited.state if context.inherited is not None else None
    config = load_platform_config(system.environ, system.clock.now())
    if state is not None:
        config = continue_platform_config(system.environ, config, state.configuration, system.clock.now())
    application = Application(config, loop, operator, create_components, context)
    add_signal_handlers(loop, application)
    incarnation.add_end_callback(application.crash)
    return RunningApplication(application, incarnation.create_task(application.run()))
