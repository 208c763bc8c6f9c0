#!/usr/bin/env python3
"""Prints a source file as the linter's compiler reads it, without line marks."""
import json
import shlex
import subprocess
import sys

build, name = sys.argv[1], sys.argv[2]
with open(f"{build}/compile_commands.json", encoding="utf-8") as commands:
    entry = next((row for row in json.load(commands) if row["file"].endswith("/" + name)), None)
if entry is None:
    sys.exit(f"{name}: no compile command")
words = [word for word in shlex.split(entry["command"]) if not word.endswith("ccache")]
cut = words.index("-o")
words = words[:cut] + words[cut + 2:]
words = [word for word in words if word not in ("-c", "-MD")]
subprocess.run(words + ["-E", "-P"], cwd=entry["directory"], check=True)
