#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case-3" lost "$(cd "$(dirname "$0")" && pwd)"
