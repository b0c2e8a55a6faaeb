"""Writes docs/FAULTS.md: `python -m tests.matrix`."""

from tests.matrix import document

document.PATH.write_text(document.document(), encoding="utf-8")
