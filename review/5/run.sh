#!/bin/sh
# Plays the case; see claim.txt. With TROUBLE=0 the disruption is left out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/release/guavatiller ] && [ -x target/review-2/world ] || exit 2
exec target/review-2/world lost-event "$folder"
