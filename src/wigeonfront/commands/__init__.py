"""The program's commands, one module for each; `wigeonfront.cli` imports them lazily.

A command is a function that takes the settings and the parsed arguments, and returns
an exit code of `wigeonfront.commands.exit_codes`.
"""
