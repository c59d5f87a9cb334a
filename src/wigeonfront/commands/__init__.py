"""Operators' commands, one module for each; `wigeonfront.cli` imports them lazily.

Each command is a function of the parsed arguments that returns an exit code of
`wigeonfront.commands.exit_codes`.
"""
