# Runs the case in folder $1; TROUBLE=0 leaves out the disruption. Exits with 1 if the
# rule was broken, 0 if it held and 2 if the case couldn't run.
cd "$1" || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH=../../target/review python3 case.py &
child=$!
# The case ends its processes itself, also when it is ended from outside.
trap 'kill "$child" 2>/dev/null' HUP INT TERM
wait "$child"
status=$?
if [ "$status" -gt 128 ]; then
    wait "$child"
    status=$?
fi
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
