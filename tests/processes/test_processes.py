"""Separate processes: kills, freezes, signals and settings."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pytest
import yaml

from magnoliaglade import configuration
from magnoliaglade.types import AccountId, Revision, ZoneId

OPERATOR_KEY = "operators"
CALLER_KEY = "club:secret"
ZONE = "akra-a"
TIMEOUT_S = 60


def until(condition):
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        result = condition()
        if result:
            return result
        time.sleep(0.1)
    raise AssertionError("condition not met in time")


def call(url, *, key, body=None, headers=None, method=None, timeout_s=30):
    request = urllib.request.Request(
        url,
        data=body,
        method=method or ("POST" if body is not None else "GET"),
        headers={"authorization": f"Bearer {key}", **(headers or {})},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as reply:
            return reply.status, reply.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except (OSError, urllib.error.URLError) as error:
        return 0, repr(error).encode()


class Cluster:
    """Stand-ins and entry instances as processes of their own."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.processes = []
        self.entries = {}
        self.urls = {}

    def spawn(self, *arguments):
        environment = {
            **os.environ,
            "MAGNOLIAGLADE_OPERATOR_KEY": OPERATOR_KEY,
        }
        log = open(self.folder / f"{len(self.processes)}.log", "wb")  # noqa: SIM115
        process = subprocess.Popen(
            [sys.executable, "-m", "magnoliaglade", *arguments],
            stdout=subprocess.PIPE,
            stderr=log,
            env=environment,
        )
        log.close()
        self.processes.append(process)
        return process

    def spawn_standin(self, *arguments):
        process = self.spawn("standin", *arguments)
        return process.stdout.readline().decode().strip()

    def start(self, *, entries=2, run_s=0.01):
        store = self.spawn_standin("store")
        listing = self.spawn_standin("instance-list")
        self.executor = self.spawn_standin(
            *("executor", "x1", "--service", "trailplan"),
            *("--zone", ZONE, "--run", str(run_s), "--instance-list", listing),
        )
        for number in range(entries):
            self.start_entry(f"e{number}", store, listing, 24100 + number)
        until(lambda: all(self.is_alive(e) for e in self.entries))
        self.apply()
        until(lambda: all(self.answers(e) for e in self.entries))

    def start_entry(self, name, store, listing, port):
        path = self.folder / f"{name}.yaml"
        path.write_text(
            yaml.safe_dump(
                {
                    "instance": name,
                    "zone": ZONE,
                    "http": {"host": "127.0.0.1", "port": port},
                    "peers": {"host": "127.0.0.1", "port": 0},
                    "store": {"url": store},
                    "instance_list": {"url": listing, "poll_s": 0.25},
                }
            )
        )
        self.entries[name] = self.spawn("entry", str(path))
        self.urls[name] = f"http://127.0.0.1:{port}"

    def is_alive(self, entry):
        return call(f"{self.urls[entry]}/healthz", key="-")[0] == 200

    def apply(self):
        offered = configuration.Configuration(
            revision=Revision(1),
            zones=(
                configuration.ZoneConfig(
                    zone=ZoneId(ZONE), region="vesturland"
                ),
            ),
            accounts=(
                configuration.AccountConfig(
                    account=AccountId("club"),
                    key_digest=configuration.key_digest("secret"),
                    request_share=1.0,
                ),
            ),
            services=(
                configuration.ServiceConfig(
                    service="trailplan",
                    kinds=(
                        configuration.RequestKind(
                            name="quote", idempotent=True
                        ),
                        configuration.RequestKind(
                            name="replay", idempotent=False, deadline_s=20.0
                        ),
                    ),
                ),
            ),
        )
        fields = {"base": 0, "document": configuration.encode(offered)}
        url = f"{self.urls['e0']}/v1/operator/config"
        status, body = call(
            url, key=OPERATOR_KEY, body=json.dumps(fields).encode()
        )
        assert status == 200, body

    def send(self, entry, kind, *, body=b"x", key=None, timeout_s=30):
        headers = {"idempotency-key": key} if key else {}
        return call(
            f"{self.urls[entry]}/v1/services/trailplan/{kind}",
            key=CALLER_KEY,
            body=body,
            headers=headers,
            timeout_s=timeout_s,
        )

    def answers(self, entry):
        return self.send(entry, "quote")[0] == 200

    def state(self, entry):
        status, body = call(
            f"{self.urls[entry]}/v1/operator/state", key=OPERATOR_KEY
        )
        return json.loads(body) if status == 200 else {}

    def send_in_background(self, entry, kind, *, key=None):
        """Starts a caller as a process; its output is the answer."""
        arguments = ["request", "trailplan", kind, "--url", self.urls[entry]]
        if key:
            arguments += ["--idempotency-key", key]
        return subprocess.Popen(
            [sys.executable, "-m", "magnoliaglade", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, "MAGNOLIAGLADE_ACCOUNT_KEY": CALLER_KEY},
        )

    def is_busy(self, entry):
        gateway = self.state(entry).get("gateway", {})
        return gateway.get("in_progress", 0) > 0

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
            process.stdout.close()


@contextlib.contextmanager
def running(folder, **options):
    cluster = Cluster(folder)
    try:
        cluster.start(**options)
        yield cluster
    finally:
        cluster.stop()


class TestSignals:
    def test_sigterm_finishes_what_is_in_flight(self, tmp_path):
        """Guards against a planned stop that cuts off a request."""
        with running(tmp_path, run_s=3) as cluster:
            caller = cluster.send_in_background("e0", "replay", key="wear-1")
            until(lambda: cluster.is_busy("e0"))
            cluster.entries["e0"].send_signal(signal.SIGTERM)
            answer, _ = caller.communicate(timeout=TIMEOUT_S)
            assert caller.returncode == 0
            assert answer == b"done: \n"
            assert cluster.entries["e0"].wait(TIMEOUT_S) == 0
            assert cluster.send("e1", "replay", body=b"", key="wear-1") == (
                200,
                b"done: ",
            )

    def test_second_signal_tells_the_truth(self, tmp_path):
        """Guards against "not run" for a request that may have run."""
        with running(tmp_path, run_s=4) as cluster:
            caller = cluster.send_in_background("e0", "replay", key="wear-2")
            until(lambda: cluster.is_busy("e0"))
            time.sleep(1)
            for _ in range(2):
                cluster.entries["e0"].send_signal(signal.SIGTERM)
                time.sleep(0.5)
            answer, _ = caller.communicate(timeout=TIMEOUT_S)
            assert json.loads(answer)["outcome"] == "unknown"
            assert cluster.entries["e0"].wait(TIMEOUT_S) == 0


class TestKilledEntry:
    def test_key_is_not_run_again_by_another_instance(self, tmp_path):
        """Guards against a double run after a crash during the run."""
        with running(tmp_path, run_s=3) as cluster:
            caller = cluster.send_in_background("e0", "replay", key="wear-3")
            until(lambda: cluster.is_busy("e0"))
            time.sleep(1)
            cluster.entries["e0"].kill()
            caller.communicate(timeout=TIMEOUT_S)
            assert caller.returncode == 3

            def is_decided():
                status, body = cluster.send(
                    "e1", "replay", body=b"", key="wear-3"
                )
                return (status, body) if status != 503 else None

            status, body = until(is_decided)
            assert status == 504
            assert json.loads(body)["outcome"] == "unknown"
            until(lambda: cluster.answers("e1"))


class TestFrozenEntry:
    def test_domain_moves_and_the_frozen_owner_gives_up(self, tmp_path):
        """Guards against two owners after a pause longer than the lease."""
        with running(tmp_path) as cluster:
            domain = f"jobs.{ZONE}"
            owner = until(
                lambda: cluster.state("e0").get("owners", {}).get(domain)
            )
            frozen = owner["instance"]
            other = "e1" if frozen == "e0" else "e0"
            cluster.entries[frozen].send_signal(signal.SIGSTOP)

            def taken():
                record = cluster.state(other).get("owners", {}).get(domain, {})
                return record.get("instance") == other and record

            record = until(taken)
            assert record["epoch"] > owner["epoch"]
            cluster.entries[frozen].send_signal(signal.SIGCONT)

            def agreed():
                records = [
                    cluster.state(e).get("owners", {}).get(domain, {})
                    for e in cluster.entries
                ]
                domains = [
                    domain in cluster.state(e).get("domains", {})
                    for e in cluster.entries
                ]
                return records[0] == records[1] and sum(domains) == 1

            until(agreed)
            until(lambda: cluster.answers(frozen))


class TestSettingsFile:
    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("instance: e\nzone: z\nhttp: {host: 1}", "http.host: found 1"),
            ("[1, 2", "a readable YAML file"),
        ],
    )
    def test_wrong_settings_give_one_error(self, tmp_path, text, expected):
        path = tmp_path / "entry.yaml"
        path.write_text(text)
        result = subprocess.run(
            [sys.executable, "-m", "magnoliaglade", "entry", str(path)],
            capture_output=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        assert result.returncode == 2
        error = result.stderr.decode()
        assert expected in error
        assert error.count("\n") == 1
