#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 node review/4/run.mjs
