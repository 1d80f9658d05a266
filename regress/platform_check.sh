# Checks that the users' platform is confined to platform/: no other directory
# except proxyd/main.c includes its headers, and none uses names of its wire
# protocol.  Tests and their stand-ins are exempt.  Prints violations and exits
# with 1 if there are any.
bad=$(git grep -nE '#include "platform/' -- '*.c' '*.h' ':!platform' \
	':!regress' ':!proxyd/main.c')
names='server-limit|kv-backup|kv-from|kv-move|kv-handle|prompt-prefix|response-signature'
names="$names|token-usage|expected-instance|tenant-id|not-executed|[^-]deadline-ms"
names="$names|rows-feed|rows-get|rows-tx|expectedRev|apiKeys|pathPrefix"
names="$names|trafficSplit|maxAttempts|kvCapacity|/readyz|/resolve"
bad="$bad$(git grep -niE "$names" -- '*.c' '*.h' ':!platform' ':!regress')"
test -z "$bad" && exit 0
echo "$bad"
exit 1
