#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case-2" late-acknowledgement "$(dirname "$0")"
