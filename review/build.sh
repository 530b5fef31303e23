#!/bin/sh
# Builds the stand-ins of the cases. They are plain scripts of Node.js without dependencies, so they are only checked.
set -eu
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
