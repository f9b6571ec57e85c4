/*
 * How long a withdrawn key may still run at an edge that asks a relay instead of the store.
 *
 * The relay reads the store when it likes; the read takes any time. The edge notes its clock and
 * asks; the relay states the key and the age of its read, counted from before the read to the reply;
 * the edge dates its proof by its note less that age. Question, reply and everything in between take
 * any time, and either side may be suspended between any two steps. A keyed request runs only while
 * the proof is younger than LIFETIME. Claim: no request that was sent LIFETIME or more after the
 * withdrawal runs.
 *
 * Broken variants, which must fail:
 *   -DAGE_FROM_READ_END    the age counts from the end of the read
 *   -DNOTE_AT_ANSWER       the edge notes its clock when the reply arrives
 *   -DANSWER_FROM_WATCH    the relay states what it holds as if it had just been read
 *   -DAGE_WITHOUT_PAUSE    the age leaves out the time between the read and the reply
 */

#define LIFETIME 3
#define FIRST 4
#define LAST 11

byte now = FIRST;
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

/* What the relay knows: the key as of its last read, and when that read began and ended. */
bool relay_holds_key = true;
byte read_at = FIRST;
byte read_took = 0;

active proctype relay() {
    byte started;
    bool held;
    do
    :: now < LAST ->
        started = now;
        held = !withdrawn;
        atomic {
            relay_holds_key = held;
#ifdef AGE_FROM_READ_END
            read_at = now;
#else
            read_at = started;
#endif
            read_took = now - started
        }
    :: now == LAST -> break
    od
}

byte proved_at = FIRST;
bool holds_key = true;

active proctype edge() {
    byte asked;
    byte age;
    bool held;
    do
    :: now < LAST ->
        asked = now;
        /* The reply is made after the question was noted. */
        atomic {
            held = relay_holds_key;
#ifdef ANSWER_FROM_WATCH
            age = 0
#else
#ifdef AGE_WITHOUT_PAUSE
            age = read_took
#else
            age = now - read_at
#endif
#endif
        }
        atomic {
#ifdef NOTE_AT_ANSWER
            asked = now;
#endif
            if
            :: held && asked >= age && asked - age > proved_at -> proved_at = asked - age
            :: held && !(asked >= age && asked - age > proved_at) -> skip
            :: !held -> holds_key = false
            fi
        }
    :: now == LAST -> break
    od
}

/* A request that arrives now was sent now at the latest; that is the worst case. */
active proctype caller() {
    do
    :: now < LAST ->
        atomic {
            if
            :: holds_key && now - proved_at < LIFETIME ->
                assert(!withdrawn || now - withdrawn_at < LIFETIME)
            :: else -> skip
            fi
        }
    :: now == LAST -> break
    od
}
