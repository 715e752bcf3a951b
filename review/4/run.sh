#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build.sh; TROUBLE=0 leaves out the
# disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec "$(dirname "$0")/../run_case.sh" 4
