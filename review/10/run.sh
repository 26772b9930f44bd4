#!/usr/bin/env bash
# Runs the case and writes record.txt beside this file; TROUBLE=0 leaves the disruption out.
. "$(dirname "$0")/../kit-2/run.sh" "review/10" crashing 1024
