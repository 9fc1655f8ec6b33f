#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/release/lagoonproxy-review outage-in-rollout review/2
