#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 not run. TROUBLE=0 plays it without its disruption.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../run-case" crashed-services "$here"
