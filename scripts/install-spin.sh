#!/usr/bin/env bash
# Installs the model checker spin from Debian's packages. Must run as root.
set -euo pipefail
install() { apt-get install --yes --no-install-recommends spin >/dev/null 2>&1; }
install || { apt-get update >/dev/null 2>&1 && install; }
