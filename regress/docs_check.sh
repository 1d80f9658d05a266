# Prints each problem title of a refusal and each log message id (notice and
# above) that docs/OPERATING.md doesn't mention; exits with 1 if there is one.
page=docs/OPERATING.md
missing=0

# need WHAT WORD ...: checks that the page contains each word as `WORD`.
need()
{
	what=$1
	shift
	for word in "$@"; do
		grep -q "\`$word\`" "$page" && continue
		echo "$page: no $what \`$word\`"
		missing=1
	done
}

# words PATTERN FILE ...: prints the string literals in the pattern's matches.
words()
{
	pattern=$1
	shift
	grep -hzoP "$pattern" "$@" | tr '\0' '\n' | grep -o '"[a-z][a-z-]*"' |
		tr -d '"' | sort -u
}

titles=$(words 'refuse\([^;"]*?\b[45]\d\d,[^;"]*?"[a-z-]+"' entryd/*.c
	words 'title = "[a-z-]+"' entryd/*.c)
msgids=$(words 'log_msg\(\s*LOG_(NOTICE|WARNING|ERR|CRIT),[^,]*,' \
	entryd/*.c fleetd/*.c lib/*.c)
test -n "$titles" && test -n "$msgids" || exit 1
# shellcheck disable=SC2086
need "title of a refusal" $titles
# shellcheck disable=SC2086
need "message id" $msgids
exit "$missing"
