#!/usr/bin/env python3
"""Checks house rules that clang-tidy has no check for.

Each file starts with a head comment; no file has a licence banner; member names
have no prefix or suffix. Prints file:line and the remedy; exits 1 on findings.
"""

import re
import sys

MARKED_MEMBER = re.compile(r"\b(m_[a-z]\w*|s_[a-z]\w*)|\bthis->\w+_\b")


def check(path):
    with open(path, encoding="utf-8") as source:
        lines = source.read().split("\n")
    if not lines[0].startswith("//"):
        yield f"{path}:1: no head comment; describe the purpose of the file in its first lines"
    for number, line in enumerate(lines, 1):
        if MARKED_MEMBER.search(line):
            yield (f"{path}:{number}: member name with a prefix or suffix; "
                   "remove it and access the member through this")
        if "SPDX-License" in line or "Copyright" in line:
            yield f"{path}:{number}: licence banner; remove it"


def main():
    findings = [finding for path in sys.argv[1:] for finding in check(path)]
    print("\n".join(findings), end="\n" if findings else "")
    return 1 if findings else 0


sys.exit(main())
