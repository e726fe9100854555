#!/bin/bash
# Sends a look-up, a read, a swap and a repeat of the swap to a deployment that
# scripts/up.sh started, and lists its hosts, budgets and events.
set -euo pipefail
sleep 3
auth="Authorization: Bearer $CELERYPIN_KEY"
echo "look-up:"
curl -sS -H "$auth" "http://$CELERYPIN_HOST/celerypin/v1/lookup?region=western"
echo
echo "read:"
curl -sS --fail-with-body -H "$auth" -H "Echo-Mark: a" "http://$CELERYPIN_HOST/rota/sunday"
echo
echo "swap, then the same swap at another host:"
curl -sS --fail-with-body -H "$auth" -H "Request-Id: swap-1" -X POST -d 'vases' "http://$CELERYPIN_HOST/swap/1"
echo
curl -sS --fail-with-body -i -H "$auth" -H "Request-Id: swap-1" -X POST -d 'vases' "http://${CELERYPIN_HOSTS##* }/swap/1"
echo
echo "without a key:"
curl -sS -i "http://$CELERYPIN_HOST/rota/sunday"
"$CELERYPIN" hosts list
"$CELERYPIN" hosts budgets | sed -n 1,5p
"$CELERYPIN" timeline | tail -5
