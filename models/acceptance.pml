/* Specification of the acceptance of a configuration number and of freshness.
 *
 * One configuration change withdraws a key. Instances hold one seat each. The accepting instance
 * announces the number, waits for acknowledgements, and swaps the head in the store. An instance
 * goes on honouring the key only on a fresh read of the store or on fresh vouchers of more than
 * half of the seats. The store may be away for some or for all of the instances, messages between
 * two groups of instances may be cut, and any instance may stop to act at any time.
 *
 * Each guarding rule can be left out with -D to show that the property needs it:
 *   NO_ANNOUNCE   the head is swapped without acknowledgements of more than half
 *   NO_GRACE_END  who acknowledged goes on vouching although it does not learn the outcome
 *   ADOPT_ANY     an instance adopts a smaller number that it hears of
 */

#define N 3
#define GRACE 1      /* ticks of vouching after an acknowledgement */
#define FRESH 1      /* ticks that a voucher or a read counts */
#define BOUND (GRACE + FRESH + 1)
#define MAX_TIME 5

byte now = 0;
bool head_swapped = false;
byte swapped_at = 0;
byte number[N];              /* adopted number: 0 has the key, 1 has not */
bool pending[N];
byte acknowledged_at[N];
bool acknowledged[N];
/* The newest moment at which peer p vouched for number 0 as heard by i; 255 for never. */
byte vouched[9];             /* [i * N + p] */
byte read_at[N];             /* last read of the store that found number 0; 255 for never */
bool cut_to_acceptor = false;
bool cut_from_acceptor = false;
bool store_away = false;     /* for all but the acceptor */
bool honoured_late = false;

hidden byte i, p, count;

#define vouches(x) (number[x] == 0 && (!pending[x] || VOUCH_IN_GRACE(x)))
#ifdef NO_GRACE_END
#define VOUCH_IN_GRACE(x) true
#else
#define VOUCH_IN_GRACE(x) (now - acknowledged_at[x] < GRACE)
#endif

active proctype clock() {
end_clock:
    do
    :: now < MAX_TIME -> now++
    :: now == MAX_TIME -> break
    od
}

/* The other instances lose the acceptor, in one direction or both, and the store. */
active proctype environment() {
    do
    :: !cut_to_acceptor -> cut_to_acceptor = true
    :: !cut_from_acceptor -> cut_from_acceptor = true
    :: !store_away -> store_away = true
    :: cut_to_acceptor && cut_from_acceptor && store_away -> break
    :: true -> break
    od
}

/* Instance 0 accepts the change. */
active proctype acceptor() {
    byte target = 1;
    /* The acceptor counts as having acknowledged its own announcement. */
    atomic {
        pending[0] = true;
        acknowledged_at[0] = now
    }
    /* Announce: each reachable instance acknowledges, in any order; or the acceptor ends. */
    do
    :: target < N && !cut_from_acceptor && !cut_to_acceptor -> atomic {
            acknowledged[target] = true;
            if
            :: number[target] == 0 && !pending[target] ->
                pending[target] = true;
                acknowledged_at[target] = now
            :: else -> skip
            fi;
            target++
        }
    :: target < N -> target++
    :: target == N -> break
    od;
    atomic {
        count = 1;
        for (i : 1 .. N - 1) {
            if
            :: acknowledged[i] -> count++
            :: else -> skip
            fi
        }
        if
#ifdef NO_ANNOUNCE
        :: true -> skip
#else
        :: 2 * count > N -> skip
        :: 2 * count <= N -> goto given_up
#endif
        fi
    }
    atomic {
        head_swapped = true;
        swapped_at = now;
        number[0] = 1
    }
    /* Tell the outcome, or end before that. */
    target = 1;
    do
    :: target < N && !cut_from_acceptor -> atomic {
            number[target] = 1;
            pending[target] = false;
            target++
        }
    :: target < N -> target++
    :: target == N -> break
    od;
given_up:
    skip
}

proctype instance(byte me) {
    byte peer;
end_instance:
    do
    /* Read the store. */
    :: atomic {
            now < MAX_TIME && !store_away ->
            if
            :: head_swapped ->
                number[me] = 1;
                pending[me] = false
            :: else -> read_at[me] = now
            fi
        }
    /* Hear a peer: its number, and whether it vouches. */
    :: atomic {
            now < MAX_TIME -> select(peer : 0 .. N - 1);
            if
            :: peer != me && (peer != 0 || (!cut_from_acceptor && !cut_to_acceptor)) ->
                if
                :: number[peer] == 1 ->
                    number[me] = 1;
                    pending[me] = false
                :: else ->
#ifdef ADOPT_ANY
                    number[me] = 0;
#endif
                    if
                    :: vouches(peer) ->
                        vouched[me * N + peer] = now
                    :: else -> skip
                    fi
                fi
            :: else -> skip
            fi;
            peer = 0
        }
    /* Honour the key, if it may. */
    :: atomic {
            now < MAX_TIME && number[me] == 0 ->
            count = (vouches(me) -> 1 : 0);
            for (p : 0 .. N - 1) {
                if
                :: p != me && vouched[me * N + p] != 255 && now - vouched[me * N + p] <= FRESH ->
                    count++
                :: else -> skip
                fi
            }
            if
            :: (2 * count > N || (read_at[me] != 255 && now - read_at[me] <= FRESH)) &&
               head_swapped && now - swapped_at > BOUND ->
                honoured_late = true
            :: else -> skip
            fi
        }
    :: now == MAX_TIME -> break
    od
}

/* The key is never honoured longer than the bound after the swap, and numbers do not fall. */
active proctype monitor() {
    byte highest[N];
end_monitor:
    do
    :: atomic {
            now < MAX_TIME ->
            assert(!honoured_late);
            for (i : 0 .. N - 1) {
                assert(number[i] >= highest[i]);
                highest[i] = number[i]
            }
        }
    :: now == MAX_TIME -> assert(!honoured_late); break
    od
}

init {
    atomic {
        for (i : 0 .. N - 1) {
            read_at[i] = 255;
            for (p : 0 .. N - 1) {
                vouched[i * N + p] = 255
            }
        }
        run instance(1);
        run instance(2)
    }
}
