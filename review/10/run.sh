#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.."
[ -f target/arbutusfield.jar ] && [ -f target/review-2/DarkServer.class ] || exit 2
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 110 java -Darbutusfield.log=SYSTEM_ERR -cp target/review-2:target/arbutusfield.jar DarkServer review/10/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
