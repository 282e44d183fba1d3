"""The operator's file: every fault raises an OperatorError that names file, line, column and key."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from winchspan.config.operator import (
    OperatorError,
    read_nodes,
    render_example_file,
    render_markdown,
    validate_sections,
)
from winchspan.config.operator.loader import load_operator_file
from winchspan.config.operator.sections import SECTIONS

ROOT = Path(__file__).parent.parent


def write_file(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "x.sexp"
    path.write_text(text)
    return path


@pytest.mark.parametrize(
    ("text", "complaint"),
    [
        ("(storms (on maybe))", "x.sexp:1:13: storms.on: expected yes or no, not 'maybe'"),
        ("(storms\n  (trial-every -1))", "x.sexp:2:16: storms.trial-every: expected 0 to 600 s, not -1.0"),
        ("(storms\n  (speed 3))", "x.sexp:2:4: storms.speed: unknown key; there are on, "),
        (
            "(winds (on yes))",
            "x.sexp:1:2: winds: unknown section; there are storms, undelivered, resend, control",
        ),
        ("(resend (rate 2))", "x.sexp:1:1: resend: expected a name first"),
        ('(resend "a") (resend "a")', "x.sexp:1:22: resend: duplicate name 'a'"),
        ('(resend "a" (ran perhaps))', "x.sexp:1:13: resend.ran: expected never or may, not 'perhaps'"),
        ('(resend "a" (hours 3))', "resend.hours of 'a': expected two numbers, not 1"),
        (
            "(control (on yes))",
            "control.socket: expected a name of up to 100 bytes in an existing folder, not ''",
        ),
        ("(storms (on yes) (on no))", "x.sexp:1:19: storms.on: duplicate key"),
        ("(storms (on yes no))", "x.sexp:1:9: storms.on: expected one value, not 2"),
        ("(storms) (storms)", "x.sexp:1:11: storms: duplicate section"),
        ("(storms (keys 3.5))", "x.sexp:1:15: storms.keys: expected 16 to 1e+07, not 3.5"),
        ("(storms (keys yes))", "x.sexp:1:15: storms.keys: expected 16 to 1e+07, not True"),
        ("(storms (parts 0.5 2))", "x.sexp:1:9: storms.parts: expected 0.01 to 1, not 2.0"),
        ("(storms (parts 0.5 0.6))", "storms.parts: must sum to at most 1, not 1.1"),
        ("(storms (calm-share 0.5))", "storms.calm-share: must be below storms.storm-share, 0.3, not 0.5"),
        (
            '(undelivered (on yes) (folder "/no/such"))',
            "undelivered.folder: expected an existing folder, not '/no/such'",
        ),
        ("(undelivered (on yes))", "undelivered.folder: expected an existing folder, not ''"),
        ("storms", "x.sexp:1:1: expected (section (key value) ...)"),
        ("(storms on)", "x.sexp:1:9: storms: expected (key value)"),
        ("(storms ((on yes)))", "x.sexp:1:9: storms: expected (key value)"),
        ("(storms\n(on yes)", "x.sexp:2: unclosed bracket"),
        ("(storms))\n", "unexpected closing bracket"),
        ('(storms (report "x', "x.sexp:1: unclosed string"),
        ("[storms]", "only round brackets"),
        ("(" * 100_000, "nested too deeply"),
        ("(storms (share nan))", "storms.share"),
    ],
)
def test_load_operator_file_with_a_fault_names_its_place(tmp_path: Path, text: str, complaint: str):
    with pytest.raises(OperatorError) as found:
        load_operator_file(write_file(tmp_path, text))
    assert complaint in str(found.value)


def test_load_operator_file_with_several_faults_names_all(tmp_path: Path):
    with pytest.raises(OperatorError) as found:
        load_operator_file(write_file(tmp_path, "(storms (on 1)\n (keys a)\n (nothing 2))"))
    assert [line.split(":")[1] for line in str(found.value).splitlines()] == ["1", "2", "3"]


def test_load_operator_file_unreadable_names_the_file(tmp_path: Path):
    with pytest.raises(OperatorError, match=r"none\.sexp: cannot read it"):
        load_operator_file(tmp_path / "none.sexp")
    (tmp_path / "x.sexp").write_bytes(b"(storms \xff)")
    with pytest.raises(OperatorError, match="not UTF-8: byte 8"):
        load_operator_file(tmp_path / "x.sexp")


def test_load_operator_file_empty_or_the_example_gives_all_defaults(tmp_path: Path):
    empty = load_operator_file(write_file(tmp_path, "; nothing\n"))
    assert empty["storms"]["on"] is False and empty["storms"]["parts"] == ()
    assert load_operator_file(write_file(tmp_path, render_example_file(SECTIONS))) == empty


def test_render_markdown_is_what_the_operators_page_has():
    assert render_markdown(SECTIONS) in (ROOT / "docs" / "operators" / "operator.md").read_text()


def test_load_operator_file_of_the_platform_has_all_sections():
    assert set(load_operator_file(ROOT / "deploy" / "kenanga.sexp")) == {section.name for section in SECTIONS}


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.text(st.sampled_from("()[]'\"\\; \nabyesno01.-storms"), max_size=60))
def test_validate_sections_of_any_text_raises_operator_errors_only(text: str):
    faults: list[str] = []
    try:
        validate_sections(read_nodes(text, "x"), SECTIONS, "x")
    except OperatorError as err:
        faults.append(str(err))
    assert all(fault.startswith("x:") for fault in faults)
