#!/usr/bin/env bash
# Plays each panel of the operators' benches in turn, by name, on a quiet machine.
#   benchmarks/regression.sh KIT SITE... WHY     the quick days; FULL=1: all of them; PANELS="days size": only those
# KIT holds the benches: the standing test's whole-fleet days and those at close range (brink: SEEDS="1 2" are drawn)
# are played by the first, the day-to-day days and the earlier ones by the second, the days at size by the third.
# Of several sites the first plays all panels, the others those of the standing test: fleet and brink.
set -euo pipefail
[ $# -ge 3 ] || { echo "regression.sh: KIT SITE... WHY, where WHY is one sentence that names the change" >&2; exit 2; }
why=${!#}
sites=("${@:2:$#-2}")
fleet=$1/more/mass/bin/lbreal days=$1/more/ops/bin/lbreal size=$1/more/bin/lbreal
for bench in "$fleet" "$days" "$size"; do
    [ -x "$bench" ] || { echo "regression.sh: no program at $bench" >&2; exit 2; }
done
quick=--quick
[ "${FULL:-}" = 1 ] && quick=
for panel in ${PANELS:-fleet brink days later size}; do
    for site in "${sites[@]}"; do
        echo "panel $panel, $site"
        case $panel in
        fleet) "$fleet" score "$site" $quick --why "$why" ;;
        brink) for seed in ${SEEDS:-$RANDOM $RANDOM}; do
                   "$fleet" score "$site" --panel brink --seed "$seed" --why "$why"
               done ;;
        days) "$days" score "$site" $quick --why "$why" ;;
        later) "$days" score "$site" --panel later $quick --why "$why" ;;
        size) "$size" score "$site" --panel size $quick --why "$why" ;;
        *) echo "regression.sh: no panel $panel; there are fleet, brink, days, later, size" >&2; exit 2 ;;
        esac
        case $panel in fleet | brink) ;; *) break ;; esac
    done
done
