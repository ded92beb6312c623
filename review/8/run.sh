#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case-2" advice-burst "$(dirname "$0")"
