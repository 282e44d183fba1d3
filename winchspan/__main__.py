"""Command line of one courier, `python -m winchspan [--operator FILE]`: arguments, signals and exit codes."""

from __future__ import annotations

import gc
import signal
import sys
from typing import TYPE_CHECKING, Final

from winchspan.runtime.early_reloads import EarlyReloads
from winchspan.runtime.event_loop_import import import_asyncio_without_tls

if TYPE_CHECKING:
    import asyncio

    from winchspan.application.application import Application, ProcessContext
    from winchspan.application.component import OperatorOptions
    from winchspan.application.registry import ComponentFactory
    from winchspan.config.platform import PlatformConfig
    from winchspan.runtime.system import System

USAGE: Final = "usage: python -m winchspan [--operator FILE]"
EXIT_OK: Final = 0
EXIT_SYSTEM_ERROR: Final = 1
EXIT_UNUSABLE_CONFIGURATION: Final = 2


def add_signal_handlers(loop: asyncio.AbstractEventLoop, application: Application) -> None:
    """Install the process's signal handlers, which call its application."""
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, application.stop)
    loop.add_signal_handler(signal.SIGHUP, application.reload)


def read_operator_options(arguments: list[str]) -> OperatorOptions:
    """Read the operator's file; without one, return an empty mapping and import no library for it.

    Raises:
        ConfigError: if the arguments or the file cannot be used.
    """
    from winchspan.config.platform import ConfigError

    if not arguments:
        return {}
    if len(arguments) != 2 or arguments[0] != "--operator":
        raise ConfigError(USAGE)
    from pathlib import Path

    from winchspan.config.operator import OperatorError
    from winchspan.config.operator.loader import load_operator_file as load_operator

    try:
        return load_operator(Path(arguments[1]))
    except OperatorError as err:
        raise ConfigError(str(err).replace("\n", "; ")) from None


def main(arguments: list[str] | None = None) -> int:
    """Run one courier and return its exit code.

    An unusable configuration ends it with one line on standard error.
    """
    early_reloads = EarlyReloads()
    # Imported modules are never garbage: collecting them takes a tenth of the start.
    gc.disable()
    import_asyncio_without_tls()
    import os

    from winchspan.application.application import ProcessContext
    from winchspan.application.components import create_components
    from winchspan.config.platform import ConfigError, load_platform_config
    from winchspan.runtime import log_setup
    from winchspan.runtime.clock import Clock
    from winchspan.runtime.process_start import PROCESS_START_MS
    from winchspan.runtime.system import System

    arguments = sys.argv[1:] if arguments is None else arguments
    try:
        operator = read_operator_options(arguments)
        config = load_platform_config(os.environ, Clock().now())
    except ConfigError as err:
        _print_error(err)
        return EXIT_UNUSABLE_CONFIGURATION
    finally:
        gc.freeze()
        gc.enable()
    log_setup.configure_logging(config.log_level)
    system = System(process_start_ms=PROCESS_START_MS)
    context = ProcessContext(system, read_operator_options=lambda: read_operator_options(arguments))
    if config.listener_fd is not None:
        inherited_context = _take_over(config, config.listener_fd, context)
        if inherited_context is None:
            return EXIT_UNUSABLE_CONFIGURATION
        context = inherited_context
        config = _continue_configuration(config, context)
    else:
        _lock_data_directory(config, system)
    return _serve(config, operator, create_components, context, early_reloads)


def _print_error(error: object) -> None:
    print(f"winchspan: {error}", file=sys.stderr)


def _take_over(config: PlatformConfig, listener_fd: int, context: ProcessContext) -> ProcessContext | None:
    """Take over the data directory from a serving process, if there is one; return None on failure."""
    from dataclasses import replace

    from winchspan.upgrade.take_over import acquire_state_directory

    system = context.system
    try:
        listener = system.inherit_listener(listener_fd)
    except OSError as err:
        _print_error(f"ROUTER_SOCKET_FD: {listener_fd} is no listening socket: {err.strerror}")
        return None
    inherited = acquire_state_directory(
        config.data_directory, lambda: system.lock_directory(config.data_directory), system.clock.now
    )
    return replace(context, inherited=inherited, listener=listener)


def _continue_configuration(config: PlatformConfig, context: ProcessContext) -> PlatformConfig:
    """Return the configuration in force after a take-over."""
    from winchspan.config.reload import continue_platform_config

    state = context.inherited.state if context.inherited is not None else None
    if state is None:
        return config
    system = context.system
    return continue_platform_config(system.environ, config, state.configuration, system.clock.now())


def _lock_data_directory(config: PlatformConfig, system: System) -> None:
    if not system.lock_directory(config.data_directory):
        from loguru import logger

        logger.warning("data directory {} is locked by another process", config.data_directory)


def _serve(
    config: PlatformConfig,
    operator: OperatorOptions,
    create_components: ComponentFactory,
    context: ProcessContext,
    early_reloads: EarlyReloads,
) -> int:
    """Run the application until it stops; return the exit code."""
    import asyncio

    from winchspan.application.application import Application
    from winchspan.config.platform import ConfigError

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        application = Application(config, loop, operator, create_components, context)
        add_signal_handlers(loop, application)
        if early_reloads.is_requested:
            loop.call_soon(application.reload)
        await application.run()

    try:
        with asyncio.Runner(loop_factory=context.system.new_event_loop) as runner:
            runner.run(serve())
    except ConfigError as err:
        _print_error(err)
        return EXIT_UNUSABLE_CONFIGURATION
    except OSError as err:
        _print_error(err)
        return EXIT_SYSTEM_ERROR
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
