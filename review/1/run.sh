#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 60 node review/1/run.mjs
