#!/usr/bin/env python3
"""Runs clang-tidy on one source file, unless the same input was clean before.

Usage: scripts/tidy.py BUILD_DIR SOURCE

The result depends on the checks, the version of clang-tidy, the compile command
and the contents of the source and of all headers that it includes. Once
clang-tidy has found nothing, their hash is kept in the user's cache folder.
"""

import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

CACHE = pathlib.Path(
    os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")
) / "peridotfall" / "tidy"
ROOT = pathlib.Path(__file__).resolve().parent.parent
COMPILERS = ("c++", "g++", "clang++")


def compile_command(build, source):
    """Returns the folder and the arguments that compile the source, if any."""
    for it in json.loads((build / "compile_commands.json").read_text()):
        if it["file"] == str(source):
            return it["directory"], shlex.split(it["command"])
    return None


def preprocessor_arguments(args):
    """Drops the launcher, the output and the request to compile."""
    first = next(n for n, it in enumerate(args)
                 if os.path.basename(it) in COMPILERS)
    args = args[first:]
    output = args.index("-o")
    return [it for it in args[:output] + args[output + 2:] if it != "-c"]


def input_hash(build, source):
    """Hashes all that the result depends on; None if it cannot be told."""
    command = compile_command(build, source)
    if command is None:
        return None
    folder, args = command
    args = preprocessor_arguments(args)
    rule = subprocess.run(args + ["-M"], cwd=folder, capture_output=True,
                          text=True, check=False)
    if rule.returncode != 0:
        return None
    out = hashlib.sha256()
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True,
                             check=True).stdout
    # A checkout in another folder has the same result.
    out.update(" ".join(args).replace(str(ROOT), "").encode() + version)
    out.update((ROOT / ".clang-tidy").read_bytes())
    for it in rule.stdout.replace("\\\n", " ").split()[1:]:
        out.update(it.replace(str(ROOT), "").encode())
        out.update(pathlib.Path(folder, it).read_bytes())
    return out.hexdigest()


def main():
    build, source = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    key = input_hash(build, source.resolve())
    clean = CACHE / key if key else None
    if clean and clean.exists():
        return 0
    code = subprocess.run(
        ["clang-tidy", "-p", str(build), "--quiet", str(source)],
        check=False).returncode
    if code == 0 and clean:
        CACHE.mkdir(parents=True, exist_ok=True)
        clean.touch()
    return code


if __name__ == "__main__":
    sys.exit(main())
