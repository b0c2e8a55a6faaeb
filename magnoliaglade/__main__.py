"""Runs the command line with `python -m magnoliaglade`."""

from magnoliaglade.cli import main

if __name__ == "__main__":
    main(prog_name="magnoliaglade")
