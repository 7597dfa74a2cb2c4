#!/usr/bin/env bash
# Prints a variant of a site file of the users' bench, to search for faults on deployments
# that the code was not developed with: scripts/vary-site.sh SITE KIND > OTHER.toml, beside
# a copy of the site's wire.json. KIND: closed, unfenced, bounds, slow, customers, runners,
# zone; or a property of the engines: pace (a third as fast), slots (8 each), boot (12 s),
# price (reclaimable VMs at 0.6 of the price), cheap (at 0.05), reclaims (short notice, and
# reclaimable VMs are unavailable for twice as long).
set -euo pipefail
if [ $# -ne 2 ] || [ ! -r "$1" ]; then
	echo "usage: scripts/vary-site.sh SITE closed|unfenced|bounds|slow|customers|runners|zone|pace|slots|boot|price|cheap|reclaims" >&2
	exit 2
fi
site=$1

# one_zone keeps only the first zone and its callers, and moves the machines and upstreams of
# all three zones there.
one_zone() {
	local first
	first=$(sed -n '/^zones = /,/^]/s/.*name = "\([^"]*\)".*/\1/p' "$site" | head -1)
	awk -v z="$first" '
		/^[a-z]+ = \[/ { part = $1 }
		/^\]/ { part = "" }
		part == "zones" && /name = / && !index($0, "\"" z "\"") { next }
		part == "machines" && /zone = / && !index($0, "zone = \"" z "\"") { next }
		/^  \{ zone = .*mix = / && !index($0, "zone = \"" z "\"") { next }
		{ print }' "$site" |
		sed -E "s/count = 2, spare = 1/count = 6, spare = 3/
			s/servers = \[(\{ zone = \"[^\"]*\", count = )6 \}[^]]*\]/servers = [\118 }]/
			s/servers = \[(\{ zone = \"[^\"]*\", count = )1 \}[^]]*\]/servers = [\13 }]/
			s/min = 1, max = 12/min = 3, max = 36/
			s/(zone|to_zone) = \"[^\"]*\"/\1 = \"$first\"/g"
}

case $2 in
closed) sed -E 's/^closed = false/closed = true/' "$site" ;;
unfenced) sed -E 's/^fenced = true/fenced = false/' "$site" ;;
bounds) sed -E 's/^drain_ms = .*/drain_ms = 3500/; s/^config_ms = .*/config_ms = 3000/; s/^grace_s = .*/grace_s = 5.0/
	s/^recover_s = .*/recover_s = 8.0/; s/^quota_window_s = .*/quota_window_s = 5.0/' "$site" ;;
slow) sed -E 's/^writes_per_s = .*/writes_per_s = 60.0/; s/^reads_per_s = .*/reads_per_s = 150.0/; s/^tx_ms = .*/tx_ms = 30.0/' "$site" ;;
customers) sed -E '/^\[tenants\]/,/^$/s/^count = .*/count = 30/' "$site" ;;
runners) sed -E 's/(servers = \[\{ zone = "[^"]*", count = )[0-9]+( \}, \{ zone = "[^"]*", count = )[0-9]+ \}[^]]*\]/\11\21 }]/
	s/min = 1, max = 12/min = 1, max = 2/; s/(mix = .*per_s = )([0-9]+)[.0-9]*/\18.0/' "$site" ;;
zone) one_zone ;;
pace) sed -E 's/(mix = .*per_s = )([0-9]+)[.0-9]*/\130.0/; s/step_ms = [0-9.]+/step_ms = 12.0/; s/prefill_tokens_per_ms = [0-9.]+/prefill_tokens_per_ms = 40.0/' "$site" ;;
slots) sed -E 's/slots = (32|48), /slots = 8, /; s/batch = (32|48), /batch = 8, /' "$site" ;;
boot) sed -E 's/boot_s = [0-9.]+/boot_s = 12.0/' "$site" ;;
price) sed -E 's/spot_price = [0-9.]+/spot_price = 0.6/' "$site" ;;
cheap) sed -E 's/spot_price = [0-9.]+/spot_price = 0.05/' "$site" ;;
reclaims) sed -E 's/(how = "reclaim[^"]*", x = )[0-9.]+, for_s = ([0-9]+)[.0-9]*/\11.0, for_s = \20.0/; s/for_s = (1[0-9])0\.0/for_s = 26.0/' "$site" ;;
*) echo "no such kind: $2" >&2; exit 2 ;;
esac
