/* Specification of seats, loans and the acceptance of configurations.
 *
 * A few instances hold one seat each. Every instance lends its seat's share of one slot to a
 * broker by messages that may be lost, delayed, duplicated or cut in one direction; instances may
 * be paused; a seat is taken over when its lease has ended. Time is a global tick; every process
 * that relies on a duration counts it on that clock, as the code does with margins for drift.
 *
 * Each guarding rule can be left out with -D to show that the property needs it:
 *   NO_WAIT        a lender lends to another broker without waiting for the old loan's end
 *   NO_RECALL_ACK  a lender takes a loan as ended when it sends the recall, not when acknowledged
 *   NO_OWN_CLOCK   a paused borrower does not end a loan by its own clock when it wakes
 *   NO_CLIP        a pool keeps its tokens when its share shrinks
 *   NO_LEASE_STOP  a paused holder does not stop by its own clock when its seat lease ended
 */

#ifndef N
#define N 2          /* instances, and seats */
#endif
#define LOAN 1       /* ticks that a loan lasts at the borrower, from the echoed stamp */
#define LEASE 2      /* ticks that a seat lease lasts */
#ifndef MAX_TIME
#define MAX_TIME 3
#endif
#define NONE 255

byte now = 0;

/* Borrower side: until when the loan of seat s counts at broker b. */
byte loan_until[N * N];      /* [b * N + s] */
/* Lender side: to whom the seat's share is lent, and until when it may count there. */
byte lent_to[N] = NONE;
byte lent_until[N];
/* Seat holder, and the time its lease ends. */
byte holder[N];              /* seat -> instance */
byte lease_until[N];
/* What an instance believes of its own seat's lease. */
byte own_lease_until[N];
bool paused[N];

/* Tokens of each broker's pool, of a burst of N: a full share holds N. */
byte tokens[N];

/* Scratch of atomic steps; not a part of the state. */
hidden byte other, s, b, total, lender, stamp, counted, sum;

/* Loan messages on their way: lender, borrower, stamp. At most two are on the way at once. */
chan wire = [2] of { byte, byte, byte };

inline share_of(b, s, total) {
    total = 0;
    for (s : 0 .. N - 1) {
        if
        :: loan_until[b * N + s] > now -> total++
        :: else -> skip
        fi
    }
}

/* A pool never holds more than its share of the burst. */
inline clip(b, s, total) {
#ifndef NO_CLIP
    share_of(b, s, total);
    if
    :: tokens[b] > total -> tokens[b] = total
    :: else -> skip
    fi
#else
    skip
#endif
}

active proctype clock() {
end_clock:
    do
    :: now < MAX_TIME -> atomic {
            now++;
            /* Running brokers notice ended loans when they next look; a paused one does not. */
            for (b : 0 .. N - 1) {
                if
                :: !paused[b] -> clip(b, s, total)
                :: else -> skip
                fi
            }
        }
    :: now == MAX_TIME -> break
    od
}

proctype instance(byte me) {
end_instance:
    do
    /* Lend the own seat to any broker, by message or to itself. */
    :: atomic {
            !paused[me] && holder[me] == me && now < MAX_TIME &&
#ifdef NO_LEASE_STOP
            true
#else
            now + LOAN < own_lease_until[me]
#endif
            -> select(other : 0 .. N - 1);
            if
            :: (lent_to[me] == other || lent_to[me] == NONE ||
#ifdef NO_WAIT
                true
#else
                lent_until[me] <= now
#endif
               ) ->
                lent_to[me] = other;
                lent_until[me] = now + LOAN;
                if
                :: other == me ->
                    loan_until[me * N + me] = now + LOAN
                :: else ->
                    /* The borrower's stamp was sent now or before; the message may be lost. */
                    if
                    :: nfull(wire) -> wire ! me, other, now
                    :: true -> skip
                    fi
                fi
            :: else -> skip
            fi
        }
    /* Receive a loan; it may have been delayed, and may be seen twice. */
    :: atomic {
            !paused[me] && wire ?? [lender, eval(me), stamp] ->
            wire ?? lender, eval(me), stamp;
            loan_until[me * N + lender] = (stamp + LOAN > loan_until[me * N + lender] ->
                                           stamp + LOAN : loan_until[me * N + lender]);
            if
            :: nfull(wire) -> wire ! lender, me, stamp
            :: true -> skip
            fi
        }
    /* Recall: the borrower ends the loan, and the lender hears of it. */
    :: atomic {
            !paused[me] && lent_to[me] != NONE && lent_to[me] != me ->
            other = lent_to[me];
#ifdef NO_RECALL_ACK
            lent_to[me] = NONE
#else
            if
            :: !paused[other] && !wire ?? [eval(me), eval(other), _] ->
                loan_until[other * N + me] = 0;
                clip(other, s, total);
                lent_to[me] = NONE
            :: else -> skip
            fi
#endif
        }
    :: atomic {
            !paused[me] && lent_to[me] == me ->
            loan_until[me * N + me] = 0;
            clip(me, s, total);
            lent_to[me] = NONE
        }
    /* The pool fills up to its share. */
    :: atomic {
            !paused[me] ->
            share_of(me, s, total);
            if
            :: tokens[me] < total -> tokens[me]++
            :: else -> skip
            fi
        }
    /* A pause, and the wake: what was lent is checked against the own clock first. */
    :: atomic { !paused[me] && now < MAX_TIME -> paused[me] = true }
    :: atomic {
            paused[me] -> paused[me] = false;
#ifndef NO_OWN_CLOCK
            clip(me, s, total)
#else
            /* Without the rule it acts on loans as they stood before the pause. */
            for (s : 0 .. N - 1) {
                if
                :: loan_until[me * N + s] > 0 && loan_until[me * N + s] <= now ->
                    loan_until[me * N + s] = now + 1
                :: else -> skip
                fi
            }
#endif
        }
    /* Renew the seat lease, with the store. */
    :: atomic {
            !paused[me] && holder[me] == me && lease_until[me] > now &&
            lease_until[me] < now + LEASE && now < MAX_TIME ->
            lease_until[me] = now + LEASE;
            own_lease_until[me] = now + LEASE
        }
    /* Take over a seat whose lease has ended, and lend it here. */
    :: atomic {
            !paused[me] && holder[(me + 1) % N] == (me + 1) % N && lease_until[(me + 1) % N] <= now &&
            now < MAX_TIME ->
            holder[(me + 1) % N] = me;
            loan_until[me * N + (me + 1) % N] = MAX_TIME + 1
        }
    :: now == MAX_TIME -> break
    od
}

/* A seat's share never counts at two running brokers at once, and no pools together hold more
 * than the burst. A paused instance does nothing with what it holds. */
active proctype monitor() {
end_monitor:
    do
    :: atomic {
            now < MAX_TIME ->
            for (s : 0 .. N - 1) {
                counted = 0;
                for (b : 0 .. N - 1) {
                    if
                    :: loan_until[b * N + s] > now && !paused[b] -> counted++
                    :: else -> skip
                    fi
                }
                assert(counted <= 1)
            }
            sum = 0;
            for (b : 0 .. N - 1) {
                if
                :: !paused[b] -> sum = sum + tokens[b]
                :: else -> skip
                fi
            }
            assert(sum <= N)
        }
    :: now == MAX_TIME -> break
    od
}

init {
    byte i;
    atomic {
        for (i : 0 .. N - 1) {
            holder[i] = i;
            lease_until[i] = LEASE;
            own_lease_until[i] = LEASE;
        }
        for (i : 0 .. N - 1) {
            run instance(i)
        }
    }
}
