#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/Case5.class ] && [ -f target/cowslipcart.jar ] || { echo "run review/build.sh and the build of deploy/system.toml first" >&2; exit 2; }
exec java -Xmx512m --add-opens java.base/sun.nio.ch=ALL-UNNAMED -cp target/review Case5 review/5/record.txt
