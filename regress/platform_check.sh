# Keeps the users' platform in its folder: no other one includes its header,
# except the program's main, and no name of its wire stands outside it; tests
# and their stand-ins speak it.  Ends with 1 if something does not hold.
bad=$(git grep -nE '#include "platform/' -- '*.c' '*.h' ':!platform' \
	':!regress' ':!proxyd/main.c')
names='kv-backup|kv-from|kv-move|kv-handle|prompt-prefix|response-signature'
names="$names|token-usage|expected-instance|tenant-id|not-executed|[^-]deadline-ms"
names="$names|rows-feed|rows-get|rows-tx|expectedRev|apiKeys|pathPrefix"
names="$names|trafficSplit|maxAttempts|kvCapacity|/readyz|/resolve"
bad="$bad$(git grep -niE "$names" -- '*.c' '*.h' ':!platform' ':!regress')"
test -z "$bad" && exit 0
echo "$bad"
exit 1
