#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules of Node.js without dependencies: nothing is compiled, they are only checked.
set -eu
cd "$(dirname "$0")"
for file in stand/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
