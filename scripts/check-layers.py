#!/usr/bin/env python3
"""Checks that the folders of src/core include only folders that are listed before them.

A header of include/limpethaven belongs to the folder of the source file with its name; LAYERS names
the folder of each header that has no source file.
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Each folder may include itself and the folders before it, except that the last three do not
# include each other.
ORDER = ["base", "config", "endpoints", "requests", "shares", "scheduling", "membership"]
INDEPENDENT = {"shares", "scheduling", "membership"}
HEADER_ONLY = {
    "fwd": "base",
    "source_revision": "base",
    "source_uptime": "base",
    "interfaces": "config",
    "caller_request": "requests",
    "retry_pause": "requests",
    "stop_admission": "requests",
}
INCLUDE = re.compile(r'#include "(?:limpethaven|core/\w+)/(\w+)\.h"')


def main() -> int:
    folder_of = dict(HEADER_ONLY)
    files = list(ROOT.glob("src/core/*/*"))
    for path in files:
        folder_of[path.stem] = path.parent.name
    findings = []
    for path in sorted(files + list(ROOT.glob("include/limpethaven/*.h"))):
        if path.stem == "limpethaven":
            continue
        folder = folder_of.get(path.stem)
        if folder not in ORDER:
            findings.append(f"{path.relative_to(ROOT)}: belongs to no folder of src/core")
            continue
        for name in INCLUDE.findall(path.read_text(encoding="utf-8")):
            other = folder_of.get(name)
            if other not in ORDER:
                findings.append(f"{path.relative_to(ROOT)}: includes unknown header {name}.h")
                continue
            allowed = other == folder or (
                ORDER.index(other) < ORDER.index(folder)
                and not (other in INDEPENDENT and folder in INDEPENDENT)
            )
            if not allowed:
                findings.append(
                    f"{path.relative_to(ROOT)}: {folder} must not include {name}.h of {other}"
                )
    for finding in findings:
        print(finding, file=sys.stderr)
    if not findings:
        print(f"layers: {len(files)} files of src/core clean")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
