"""Exit codes of the program, and their text in its help."""

OK = 0
FAILED = 1
USAGE = 2
CONFLICT = 3
NOT_IN_FORCE = 4
UNREACHABLE = 5
INTERRUPTED = 130

HELP = """\
exit codes:
  0  done
  1  failed, or not all that was asked for
  2  bad usage, setting or input file
  3  conflict: somebody else changed the catalogue entry first
  4  stored but not yet in force everywhere
  5  no entry could be reached"""
