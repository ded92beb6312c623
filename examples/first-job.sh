#!/usr/bin/env bash
# Submits a gang of two tasks and sends a request to a service, both through the entry at ADDRESS.
set -euo pipefail
cd "$(dirname "$0")/.."
address=${ADDRESS:-127.0.0.1:7400}
tool=(build/bergamotwick --server "$address")

until "${tool[@]}" status 2> /dev/null | grep -q 'workers 4/4' && [ "$("${tool[@]}" status | grep -c 'executor ')" -ge 2 ]; do
    sleep 0.2
done
"${tool[@]}" status

echo "--- a gang of two tasks with eight adjacent accelerators each"
"${tool[@]}" job submit '{"id": "first", "workspace": "demo", "tasks": 2, "cores": 4, "memory_mb": 1000, "accelerators": 8, "payload": "500ms"}'
until "${tool[@]}" job show first | grep -q ' done '; do
    sleep 0.2
done
"${tool[@]}" job show first

echo "--- a request to a service"
curl -s -X POST -d 'hello' "http://$address/v1/services/echo/quick?workspace=demo&group=pecs"
echo
"${tool[@]}" report burn
