#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case-2" removed-queue "$(dirname "$0")"
