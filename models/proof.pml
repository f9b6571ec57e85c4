/*
 * How long a withdrawn key may still run at an edge.
 *
 * The operator withdraws a key in the store at any moment. An edge asks the store whether its policy
 * is still the newest one; the question, its execution at the store and the answer may take any
 * time, and the edge may be frozen between any two steps. A keyed request runs only while the proof
 * is younger than LIFETIME. Claim: no request that was sent LIFETIME or more after the withdrawal
 * runs.
 *
 * Broken variants, which must fail:
 *   -DPROOF_FROM_ANSWER  the proof counts from the answer and not from before the question
 *   -DNO_LIFETIME        a proof never ends
 */

#define LIFETIME 3
#define LAST 9

byte now = 0;
bool withdrawn = false;
byte withdrawn_at = 0;

/* Time passes at any moment. */
active proctype clock() {
    do
    :: now < LAST -> now++
    :: now == LAST -> break
    od
}

active proctype operator() {
    atomic {
        withdrawn = true;
        withdrawn_at = now
    }
}

byte proved_at = 0;
bool holds_key = true;

active proctype edge() {
    byte asked;
    bool read;
    do
    :: now < LAST ->
        asked = now;
        read = !withdrawn;
        if
        :: read ->
#ifdef PROOF_FROM_ANSWER
            proved_at = now
#else
            proved_at = asked
#endif
        :: else -> holds_key = false
        fi
    :: now == LAST -> break
    od
}

/* A request that arrives now was sent now at the latest; that is the worst case. */
active proctype caller() {
    do
    :: now < LAST ->
        atomic {
            if
#ifdef NO_LIFETIME
            :: holds_key ->
#else
            :: holds_key && now - proved_at < LIFETIME ->
#endif
                assert(!withdrawn || now - withdrawn_at < LIFETIME)
            :: else -> skip
            fi
        }
    :: now == LAST -> break
    od
}
