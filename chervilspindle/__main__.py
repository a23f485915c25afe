"""Entry point of ``python -m chervilspindle`` and of the binary."""

from chervilspindle import cli

if __name__ == "__main__":
    cli.main()
