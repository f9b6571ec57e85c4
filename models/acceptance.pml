/* Specification of the acceptance of a configuration number and of freshness.
 *
 * One configuration change withdraws a key. Instances hold one seat each. The accepting instance
 * announces the number, waits for acknowledgements, and swaps the head in the store. An instance
 * goes on honouring the key only on a fresh read of the store or on fresh vouchers of more than
 * half of the seats. Messages to and from the accepting instance and the store of the others come
 * and go; any process may stop to act at any moment. Durations are counters that a clock lowers, so
 * time has no end in the model.
 *
 * Each guarding rule can be left out with -D to show that the property needs it:
 *   NO_ANNOUNCE   the head is swapped without acknowledgements of more than half
 *   NO_GRACE_END  who acknowledged goes on vouching although it does not learn the outcome
 *   ADOPT_ANY     an instance adopts a smaller number that it hears of
 */

#define N 3
#define GRACE 1      /* ticks of vouching after an acknowledgement */
#define FRESH 1      /* ticks that a voucher or a read counts after the one in which it was got */
#define BOUND (GRACE + FRESH + 1)

bool head_swapped = false;
byte since_swap = 0;         /* ticks since the swap, up to BOUND + 1 */
byte number[N];              /* adopted number: 0 has the key, 1 has not */
bool pending[N];             /* acknowledged number 1 without knowing its outcome */
byte grace_left[N];
byte voucher_left[N * N];    /* [i * N + p]: ticks that p's voucher still counts at i */
byte read_left[N];
bool cut_to_acceptor = false;
bool cut_from_acceptor = false;
bool store_away = false;     /* for all but the accepting instance */
bool fell = false;           /* some number became smaller */
bool honoured_late = false;

hidden byte i, p, count;

#ifdef NO_GRACE_END
#define vouches(x) (number[x] == 0)
#else
#define vouches(x) (number[x] == 0 && (!pending[x] || grace_left[x] > 0))
#endif

#define lower(counter) counter = (counter > 0 -> counter - 1 : 0)

active proctype clock() {
    do
    :: atomic {
            for (i : 0 .. N - 1) {
                lower(grace_left[i]);
                lower(read_left[i]);
                for (p : 0 .. N - 1) {
                    lower(voucher_left[i * N + p])
                }
            }
            if
            :: head_swapped && since_swap <= BOUND -> since_swap++
            :: else -> skip
            fi
        }
    od
}

/* The others lose and regain the accepting instance, in one direction or both, and the store. */
active proctype environment() {
    do
    :: cut_to_acceptor = !cut_to_acceptor
    :: cut_from_acceptor = !cut_from_acceptor
    :: store_away = !store_away
    od
}

/* Instance 0 accepts the change. It may stop for good between any two steps. */
active proctype acceptor() {
    byte target = 1;
    byte votes = 1;
    atomic {
        pending[0] = true;
        grace_left[0] = GRACE
    }
    do
    :: atomic {
            target < N && !cut_from_acceptor && !cut_to_acceptor ->
            votes++;
            if
            :: number[target] == 0 && !pending[target] ->
                pending[target] = true;
                grace_left[target] = GRACE
            :: else -> skip
            fi;
            target++
        }
    :: target < N -> target++
    :: target == N -> break
    od;
#ifndef NO_ANNOUNCE
    2 * votes > N;
#endif
    atomic {
        head_swapped = true;
        number[0] = 1;
        target = 1
    }
    do
    :: atomic {
            target < N && !cut_from_acceptor ->
            number[target] = 1;
            pending[target] = false;
            target++
        }
    :: target < N -> target++
    :: target == N -> break
    od
}

proctype instance(byte me) {
    do
    /* Read the store. */
    :: atomic {
            !store_away ->
            if
            :: head_swapped ->
                number[me] = 1;
                pending[me] = false
            :: else -> read_left[me] = FRESH + 1
            fi
        }
    /* Hear a peer: its number, and whether it vouches. */
    :: atomic {
            for (p : 0 .. N - 1) {
                if
                :: p != me && (p != 0 || (!cut_from_acceptor && !cut_to_acceptor)) ->
                    if
                    :: number[p] == 1 ->
                        number[me] = 1;
                        pending[me] = false
                    :: number[p] == 0 ->
#ifdef ADOPT_ANY
                        fell = fell || number[me] == 1;
                        number[me] = 0;
#endif
                        if
                        :: vouches(p) -> voucher_left[me * N + p] = FRESH + 1
                        :: else -> skip
                        fi
                    :: true -> skip
                    fi
                :: else -> skip
                fi
            }
        }
    /* Honour the key, if it may. */
    :: atomic {
            number[me] == 0 ->
            count = (vouches(me) -> 1 : 0);
            for (p : 0 .. N - 1) {
                if
                :: p != me && voucher_left[me * N + p] > 0 -> count++
                :: else -> skip
                fi
            }
            if
            :: (2 * count > N || read_left[me] > 0) && since_swap > BOUND -> honoured_late = true
            :: else -> skip
            fi
        }
    od
}

/* The key is never honoured longer than the bound after the swap, and no number falls. */
active proctype monitor() {
    do
    :: assert(!honoured_late && !fell)
    od
}

init {
    atomic {
        run instance(1);
        run instance(2)
    }
}
