#!/usr/bin/env python3
"""Prints a source file as preprocessed by its compile command, without line markers.

usage: preprocess.py BUILD FILE
"""
import json
import shlex
import subprocess
import sys

build, name = sys.argv[1], sys.argv[2]
with open(f"{build}/compile_commands.json", encoding="utf-8") as commands:
    entry = next((row for row in json.load(commands) if row["file"].endswith("/" + name)), None)
if entry is None:
    sys.exit(f"{name}: no compile command in {build}/compile_commands.json")
arguments = [argument for argument in shlex.split(entry["command"])
             if not argument.endswith("ccache")]
output_index = arguments.index("-o")
arguments = arguments[:output_index] + arguments[output_index + 2:]
arguments = [argument for argument in arguments if argument not in ("-c", "-MD")]
subprocess.run(arguments + ["-E", "-P"], cwd=entry["directory"], check=True)
