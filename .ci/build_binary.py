"""Builds the single file ``dist/wigeonfront`` with shiv.

Usage: ``python .ci/build_binary.py [OUTPUT]``. Packages that are needed only for
installation are left out. Compiled modules are included, because VMs are often new:
the first start then needs no time and memory for compiling, and writes nothing but the
unpacked packages.
"""

import compileall
import os
import shutil
import subprocess
import sys
import tempfile
import zipfile
from pathlib import Path
from py_compile import PycInvalidationMode

ROOT = Path(__file__).resolve().parent.parent
DEFAULT_OUTPUT = ROOT / "dist" / "wigeonfront"
# The preamble starts the program, but shiv requires an entry point as well.
START = ROOT / ".ci" / "binary_start.py"
ENTRY_POINT = "wigeonfront.cli:main"
ONLY_FOR_INSTALLING = ("setuptools", "pkg_resources", "pbr", "_distutils_hack", "bin")


def build(output: Path) -> None:
    """Build the archive and write it to `output`."""
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        packages = Path(folder) / "packages"
        install(packages)
        make_archive(packages, output)
        add_compiled(packages, output)


def install(packages: Path) -> None:
    """Install the project and its dependencies into the folder `packages`."""
    # An old build folder may contain modules that have since been deleted.
    shutil.rmtree(ROOT / "build", ignore_errors=True)
    pip = [sys.executable, "-m", "pip", "install", "--quiet", "--no-compile"]
    subprocess.run([*pip, "--target", str(packages), str(ROOT)], check=True)
    for name in ONLY_FOR_INSTALLING:
        shutil.rmtree(packages / name, ignore_errors=True)
    for path in packages.glob("*.pth"):
        path.unlink()


def make_archive(packages: Path, output: Path) -> None:
    """Pack the folder `packages` into an archive with shiv."""
    shiv = [sys.executable, "-m", "shiv", "--reproducible", "-e", ENTRY_POINT]
    options = ["--preamble", str(START), "--site-packages", str(packages)]
    options += ["-o", str(output)]
    subprocess.run([*shiv, *options], check=True)


def add_compiled(packages: Path, output: Path) -> None:
    """Compile the modules and add the results to the archive.

    The compiled files must not be checked against the modification times of their
    sources, which unpacking doesn't keep.
    """
    compileall.compile_dir(
        packages,
        quiet=1,
        stripdir=str(packages),
        invalidation_mode=PycInvalidationMode.UNCHECKED_HASH,
    )
    with zipfile.ZipFile(output, "a", zipfile.ZIP_DEFLATED) as archive:
        for path in sorted(packages.rglob("*.pyc")):
            name = path.relative_to(packages).as_posix()
            archive.write(path, f"site-packages/{name}")


if __name__ == "__main__":
    target = Path(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_OUTPUT
    build(target.absolute())
    print(f"{target}: {os.path.getsize(target)} bytes")
