"""Starts one courier: `python -m winchspan [--operator FILE]`. It only wires parts and handles signals."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from loguru import logger

from winchspan import interface as api
from winchspan import logs
from winchspan.began import BEGAN
from winchspan.clock import to_ms, to_ns
from winchspan.config import Address, Config, ConfigError, load, reload
from winchspan.courier import Courier
from winchspan.deadlines import Deadlines
from winchspan.figures import Figures
from winchspan.journal import Journal
from winchspan.net.client_link import ClientLinks
from winchspan.net.hooks import Hooks
from winchspan.net.host_group import HostGroup, Watch
from winchspan.net.notices import Notice, Notices
from winchspan.net.server_link import ServerLinks, SocketBudget
from winchspan.settings import FieldError
from winchspan.system import Listener, System

if TYPE_CHECKING:
    from winchspan.admin.front import AdminFront
    from winchspan.admin.operations import Operations
    from winchspan.control.server import ControlServer
    from winchspan.storms.report import Report
    from winchspan.undelivered.keeper import Keeper
    from winchspan.upgrade.link import GiverLink
    from winchspan.upgrade.parts import Giving, Whole
    from winchspan.upgrade.start import Inherited

ADMIN_FILES = 18          # the operators' listening socket, 16 links, and one that is being accepted
OWN_FILES = 16            # descriptors beside links: streams, the loop, the journal, the listening socket
LISTEN_ON = 700.0         # after SIGTERM, clients still come for 0.4 s
START_UNTIL = 2_600.0     # after SIGTERM, new executions start; the platform kills no sooner than 3.7 s
RUN_UNTIL = 3_300.0       # and this long what is out may still come back
USAGE = "usage: python -m winchspan [--operator FILE]"
Operator = Mapping[str, Mapping[str, Any]]    # the operator's file: section to key to value


class Announcements:
    """The courier's announcer: notices to the platform."""

    def __init__(self, notices: Notices, words: bool) -> None:
        self._notices, self._words = notices, words

    def announce(self, message: str, state: str, after_ms: int, heard: Callable[[], None],
                 reason: str = "") -> None:
        """Owe the platform a notice."""
        self._notices.add(Notice(message, state, after_ms, heard, reason if self._words else ""))


def _log_fault(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """A fault that nothing caught: it ends a link at most, and is a bounded log line like any other."""
    logger.error("{}: {!r}", context.get("message"), context.get("exception"))


class Daemon:
    """All parts of one courier."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, operator: Operator,
                 system: System | None = None, inherited: Inherited | None = None,
                 listener: Listener | None = None) -> None:
        self._inherited, self._listener = inherited, listener
        self._config, self._loop, self._system = config, loop, system or System()
        storms, self._rules, self._operator = operator.get("storms", {}), operator.get("resend", {}), operator
        words = bool(storms.get("on") and storms.get("words"))
        settings = replace(config.settings, ends_are_heard=True, can_recall=True)
        self._clock = self._system.clock
        lookout = self._system.lookout
        self._deadlines = Deadlines(self._clock, loop, lookout)
        self._journal = Journal(config.state, config.disk_bytes, self._system.disk)
        own = OWN_FILES + (ADMIN_FILES if config.admin else 0)
        budget = self._budget = SocketBudget(config.sockets - own)
        self._figures = Figures(settings.classes)
        self._classes = dict(settings.classes)      # those in force, for whoever looks at them later
        links = self._links = ServerLinks(loop, self._clock, self._deadlines, budget,
                            to_ms(settings.connect_timeout_ns), to_ms(settings.keepalive_ns))
        self._group = HostGroup(lambda news: self._courier.listed(news), links.part,
                                self._journal.by_hand)
        self._group.by_hand.update(self._journal.offline)
        self._notices = Notices(links, self._clock, self._deadlines, config.discovery)
        hooks = self._hooks = Hooks(self._group, links, self._clock,
                                    {n: k.per_call for n, k in settings.kinds.items()},
                                    settings.answers_report, self._figures)
        governor = self._storms(storms, settings) if storms.get("on") else None
        self._courier = Courier(settings, config.seed, self._clock, self._deadlines, self._journal, hooks,
                                Announcements(self._notices, words), loop.call_soon, governor,
                                self._keep(operator.get("undelivered", {}), settings), self._figures,
                                lookout)
        self._watch = Watch(self._group, links, self._deadlines, config.discovery)
        self._clients = ClientLinks(self._courier, self._clock, self._deadlines, budget, self._most(settings),
                                    links.retire_oldest, words, lookout)
        self._done = asyncio.Event()

    def _most(self, settings: api.Settings) -> int:
        """How many client links there may be; the rest is for server links."""
        return max(self._budget.limit // 2, self._budget.limit - settings.slots - 4)

    _report: Report | None = None
    _keeper: Keeper | None = None
    _server: ControlServer | None = None
    _admin: AdminFront | None = None
    _giver: GiverLink | None = None
    _giving: Giving | None = None
    _serving = False

    def parts(self) -> Whole:
        """All parts, as an upgrade handles them."""
        from winchspan.upgrade.parts import Whole

        return Whole(self._clock, self._deadlines, self._journal, self._group, self._courier, self._clients,
                     self._links, self._hooks, self._notices)

    def _hand_over_when_asked(self) -> None:
        """Wait for a new process that takes over; a courier that can't goes on without."""
        from winchspan.upgrade.link import GiverLink
        from winchspan.upgrade.pack import fingerprint
        from winchspan.upgrade.parts import Giving

        def room() -> int:      # of the descriptors that both may hold, what is left beside two sets of files
            return self._config.sockets - self._budget.open - 2 * (OWN_FILES + ADMIN_FILES)

        self._giving = Giving(self.parts(), room, self._stop_now, self._given)
        self._giver = GiverLink(self._config.state, fingerprint(), self._giving, self._clock.now)
        try:
            self._giver.listen(self._loop)
        except OSError as err:
            logger.error("upgrade: cannot wait for a new process: {}", err)
            self._giver = None

    def _given(self) -> None:
        """Another process is the courier now."""
        self._system.unlock()
        self._done.set()

    def operations(self) -> Operations:
        """What operators can ask for."""
        from winchspan.admin.operations import Operations

        return Operations(self._group, self._clients, self._counters, self._state)

    def _state(self) -> str:
        """Whether this process serves; if not, why."""
        if self._clients.stopping or (self._giving is not None and self._giving.held):
            return "stopping"
        return "serving" if self._serving else "starting"

    def _counters(self) -> str:
        """The figures of this moment."""
        listed = self._group.listed()
        return self._figures.lines("courier", {
            "current": self._courier.held, "cluster_size": len(listed),
            "cluster_unhealthy": sum(self._courier.avoided(number) for number in listed)})

    def _open_admin(self, address: Address) -> None:
        """Listen for operators; raises OSError."""
        from winchspan.admin.front import AdminFront

        self._admin = AdminFront(self.operations(), self._deadlines)
        self._admin.listen(self._loop, self._system.listen(address.host, address.port))
        logger.info("operators call at {}", address)

    async def _control(self, path: Path) -> None:
        """Open the control socket; a courier that can't have one goes on without it."""
        from winchspan.control.commands import commands
        from winchspan.control.server import ControlServer

        context = None
        if self._keeper is not None:
            from winchspan.undelivered.queries import Context
            from winchspan.undelivered.setup import rules

            context = Context(rules(self._rules), self._classes)
        offered = commands(self._courier, self._keeper, self._clock, context, self.operations())
        server = ControlServer(path, offered, self._deadlines)
        try:
            await server.start()
        except OSError as err:
            logger.error("control: cannot listen on {}: {}", path, err)
            return
        self._server = server

    def _keep(self, values: Mapping[str, Any], settings: api.Settings) -> Keeper | None:
        """The keeper of undelivered messages, if there is to be one."""
        if not values.get("on"):
            return None
        from winchspan.undelivered.setup import keeper

        make = self._system.keeper or keeper
        self._keeper = make(values, settings, self._clock, self._loop.call_soon_threadsafe)
        return self._keeper

    def _resend(self, keeper: Keeper) -> None:
        """Begin to send kept messages again; without a rule, only what operators ask for."""
        from winchspan.undelivered.resender import Resender
        from winchspan.undelivered.setup import rules

        Resender(rules(self._rules), self._classes, self._clock, self._deadlines, keeper,
                 self._courier).start()

    def _storms(self, values: Mapping[str, Any], settings: api.Settings) -> api.Governor:
        """The governor of retry storms, and whoever writes down what it sees."""
        from winchspan.storms.report import Report  # with everything off, none of this is imported
        from winchspan.storms.setup import governor

        found = governor(values, settings, self._config.seed, to_ns(self._clock.now()))
        self._report = Report(found, self._deadlines, Path(values["report"]) if values["report"] else None)
        self._report.start()
        return found

    def crash(self) -> None:
        """Let go of the journal's file as the system does when a process dies; for emulated machines."""
        if not self._done.is_set():
            self._journal.drop()

    async def run(self) -> None:
        """Serve until told to stop."""
        state = self._inherited.state if self._inherited is not None else {}
        if self._config.known and "group" not in state:
            try:
                self._group.take(self._config.known, api.Scope.STALE)
            except FieldError as err:
                logger.error("known: {}", err)
        self._loop.set_exception_handler(_log_fault)
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        if self._report is not None:
            self._loop.add_signal_handler(signal.SIGUSR1, self._report.write)
        if self._config.admin is not None:
            self._open_admin(self._config.admin)
        if self._inherited is not None and state:
            from winchspan.upgrade.parts import adopt

            adopt(self.parts(), self._loop, self._system, state, self._inherited.calls,
                  self._inherited.descriptors, self._inherited.asked)
            if self._report is not None:
                self._report.follow(self._courier.governor)  # type: ignore[arg-type]
        else:
            self._courier.recover()
        if self._keeper is not None:
            self._resend(self._keeper)
        if self._operator.get("control", {}).get("on"):
            await self._control(Path(self._operator["control"]["socket"]))
        self._watch.open()
        listen = self._config.listen
        self._clients.listen(self._loop, self._listener or self._system.listen(listen.host, listen.port))
        if self._config.socket_fd is not None:
            self._hand_over_when_asked()
        logger.info("{} listens on {}", self._config.name, self._config.listen)
        self._serving = True
        await self._done.wait()
        if self._admin is not None:
            self._admin.close()
        if self._giver is not None:
            self._giver.close()
        if self._server is not None:
            self._server.close()
        if self._keeper is not None:
            self._keeper.close()
        self._journal.close()
        logger.info("{} ends", self._config.name)

    def _reload(self) -> None:
        """SIGHUP: read the configuration again; one that cannot be used changes nothing."""
        try:
            config = reload(self._system.environ, self._config)
        except ConfigError as err:
            self._figures.conf_invalid += 1
            logger.error("SIGHUP: the old configuration goes on: {}", err)
            return
        self._figures.conf_loaded += 1
        if config.settings != self._config.settings:
            self._retune(config.settings)
        self._config = config
        self._watch.move(self._config.discovery)
        self._notices.move(self._config.discovery)
        logger.info("SIGHUP: discovery is at {}", self._config.discovery)

    def _retune(self, found: api.Settings) -> None:
        """Other settings hold, everywhere in one step."""
        settings = replace(found, ends_are_heard=True, can_recall=True)
        self._courier.retune(settings)
        self._hooks.retune({n: k.per_call for n, k in settings.kinds.items()}, settings.answers_report)
        self._links.retune(to_ms(settings.connect_timeout_ns), to_ms(settings.keepalive_ns))
        self._clients.retune(self._most(settings))
        self._classes.clear()
        self._classes.update(settings.classes)
        if self._keeper is not None:
            self._keeper.retune(settings)
        logger.info("SIGHUP: classes {}, {} attempts, {} slots", ", ".join(settings.classes),
                    settings.max_attempts, settings.slots)

    def _stop(self) -> None:
        """SIGTERM: a hand-over that has begun comes to its end first."""
        if self._giver is not None:
            self._giver.stop()
        else:
            self._stop_now()

    def _stop_now(self) -> None:
        """Clients are answered while they come, what is out may end, the rest is in the journal."""
        if self._clients.stopping:
            return
        logger.info("stopping: {} executions are out", self._courier.out)
        self._clients.wind_down()
        self._deadlines.after(LISTEN_ON, self._clients.stop_listening)
        self._deadlines.after(LISTEN_ON, self._end_once_done)
        self._deadlines.after(START_UNTIL, self._courier.freeze)
        self._deadlines.after(RUN_UNTIL, self._done.set)

    def _end_once_done(self) -> None:
        """End as soon as nothing is left that this life may still do."""
        if self._courier.busy or len(self._notices):
            self._deadlines.after(20.0, self._end_once_done)
        else:
            self._done.set()


def _operator(words: list[str]) -> Operator:
    """What the operator's file says; nothing, and no library of it imported, where there is none."""
    if not words:
        return {}
    if len(words) != 2 or words[0] != "--operator":
        raise ConfigError(USAGE)
    from winchspan.operator import OperatorError
    from winchspan.operator.sections import load as load_operator

    try:
        return load_operator(Path(words[1]))
    except OperatorError as err:
        raise ConfigError(str(err).replace("\n", "; ")) from None


def main(words: list[str] | None = None) -> int:
    """Run one courier; a configuration that cannot be used ends it with one line."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)   # until the loop takes it: its default ends the process
    try:
        operator = _operator(sys.argv[1:] if words is None else words)
        config = load(os.environ)
    except ConfigError as err:
        print(f"winchspan: {err}", file=sys.stderr)
        return 2
    logs.start(config.log_level)
    system, inherited, listener = System(began=BEGAN), None, None
    if config.socket_fd is not None:
        from winchspan.upgrade.start import begin

        try:
            listener = system.inherit(config.socket_fd)
        except OSError as err:
            print(f"winchspan: ROUTER_SOCKET_FD: {config.socket_fd} is no listening socket: {err.strerror}",
                  file=sys.stderr)
            return 2
        inherited = begin(config.state, lambda: system.lock(config.state), system.clock.now)
    elif not system.lock(config.state):
        logger.warning("{} is held by another process", config.state)

    async def serve() -> None:
        await Daemon(config, asyncio.get_running_loop(), operator, system, inherited, listener).run()

    try:
        with asyncio.Runner(loop_factory=system.loop) as runner:
            runner.run(serve())
    except OSError as err:
        print(f"winchspan: {err}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
