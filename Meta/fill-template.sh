#!/usr/bin/env bash
# Fills the fields of a settings template in, as the platform does, and prints the result. A field that no argument names
# is an error that names it: nothing is printed to standard output then. A section {{#NAME}}..{{/NAME}} stays where NAME has
# a value other than false, and goes where it has none.
# Usage: Meta/fill-template.sh TEMPLATE NAME=VALUE...
set -euo pipefail

[ $# -ge 1 ] || { echo "usage: Meta/fill-template.sh TEMPLATE NAME=VALUE..." >&2; exit 2; }
template="$1"
shift
[ -r "$template" ] || { echo "$template: cannot be read" >&2; exit 2; }
text=$(<"$template")
has_value() { # name, then the arguments
    local name="$1" it
    shift
    for it in "$@"; do [[ "$it" == "$name="?* && "$it" != "$name=false" ]] && return 0; done
    return 1
}
while [[ "$text" =~ \{\{#([^}]*)\}\} ]]; do
    name="${BASH_REMATCH[1]}"
    open="{{#$name}}" close="{{/$name}}"
    [[ "$text" == *"$open"*"$close"* ]] || { echo "$template: $open has no $close behind it" >&2; exit 1; }
    rest=${text#*"$open"}
    body=""
    ! has_value "$name" "$@" || body=${rest%%"$close"*}
    text="${text%%"$open"*}$body${rest#*"$close"}"
done
for it in "$@"; do
    [[ "$it" == ?*=* ]] || { echo "read \"$it\"; allowed is NAME=VALUE" >&2; exit 2; }
    field="{{${it%%=*}}}"
    text=${text//"$field"/"${it#*=}"}
done
unknown=$(grep -oE '\{\{[^}]*\}\}' <<<"$text" | sort -u | paste -sd' ' || true)
[ -z "$unknown" ] || { echo "$template: no value for $unknown" >&2; exit 1; }
printf '%s\n' "$text"
