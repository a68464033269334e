/*
 * Claims of one job: entries A and B, agents X, Y and Z. The caller sends the job to A, and to B when its connection to A breaks.
 *
 * Names match the code: Dispatcher::requestClaim, updateClaim, renewClaims, suspendClaims, takeOverClaims, areRunsKnownOf,
 * releaseClaimIfOver, onEntryState; JobClaims::claim, passOn, release, releaseOthers, expire; RunGate::linkClosed, entryLinked.
 *
 * Messages of a link keep their order and take any time; those under way are lost with the link. A has one run, at any agent, and B
 * has one. Both ends of a link notice its loss at once, but for an agent that is suspended. A gives no order once its caller has
 * left (Dispatcher::hasCaller), but may stop its run any time later.
 *
 * Property: never a run of A's and one of B's at the same time.
 *
 * Bounds: RESETS of A's links, KILLS of A, SUSPENDS of agents. States in which A can't have a run any more are not followed.
 *
 * The protocol as coded holds with one reset and a kill, or one suspension, and fails with two resets, or one and a suspension: an
 * entry that had no link to X and Y when it asked holds the claim by Z's grant alone, also after it has linked to X and Y again.
 * ASK_LATER, which is not in the code, asks only once no link is awaited any more; then the property holds.
 *
 * Taken for granted, by the time bounds of docs/PLATFORM.md "What proves that a run is over": a claim lapses only when A has no
 * run and no order under way; a run at an agent that B has lost counts as over only when it is; an agent that wakes after a suspension
 * has no runs and closes all links; A takes a run at an agent without a link for over only when it is; a link that was lost comes again
 * within the wait of Dispatcher::isRelinking, unless its agent is suspended; A's next order to an agent comes no sooner to it than
 * the agent's EntryState that A has linked again to B.
 *
 * Left out: time; entries that start jobs without a claim as no link was lost in the last 3 s; claims that go unanswered, and further
 * agents that are asked then; agents of earlier releases, restarts of agents, links of B that break while the agent isn't suspended;
 * relayed orphans; stops of A's run that B orders; a suspended entry; a caller whose leaving A notices after its next order; more than
 * three agents; several jobs, tasks and runs. Channels hold 3 messages to an agent and 4 to an entry; what would send more waits.
 *
 * Each -D leaves one mechanism out; the verifier must then find a violation:
 *   NO_CLAIM (B starts without a claim) NO_WAIT_FOR_ALL (B takes over before all linked agents told of A) EARLY_RELEASE (A releases
 *   while it has a run) NO_RELINK_WAIT
 * or one of the time bounds:
 *   STALE (that an agent has linked A again reaches B any time later) LONG_CUT (claims lapse while A has a run at an agent linked to it)
 */
#ifndef RESETS
#define RESETS 1
#endif
#ifndef KILLS
#define KILLS 0
#endif
#ifndef SUSPENDS
#define SUSPENDS 0
#endif
#define AGENTS 3
#define A 0
#define B 1
#define AT(e, i) ((e) * AGENTS + (i))

/* To an agent. FULL and NONE: the complete claims of the entry, with or without the job. */
#define CLAIM 1
#define TAKE 2
#define FULL 3
#define NONE 4
#define RELEASE 5
#define ORDER 6
#define STOP 7
/* To an entry. LOST_RUN: A's run, and then that A has lost its link. OTHER_OVER: A's run that B waits for is over. */
#define GRANT 1
#define REFUSE 2
#define REFUSE_LOST 3
#define LOST 4
#define LOST_RUN 5
#define LINKED 6
#define OVER 7
#define OTHER_OVER 8

/* Links. */
bool up[6];
chan toAgent[6] = [3] of { byte };
chan toEntry[6] = [4] of { byte };

/* Entries. */
bool hasJob[2];
bool isDead; /* A */
bool hasLeft; /* the caller, from A */
byte ordered[2]; /* agent of the run + 1 */
bool isUsed[2]; /* has ordered its run */
byte asked[6]; /* 0 not asked, 1 asked, 2 granted, 3 refused, 4 unlinked */
bool mayTake[3]; /* B: the agent told that the holder A is lost */
bool isLost[3]; /* B: what the agent told last of A */
bool awaited[3]; /* B: a run of A's at the agent */

/* Agents. */
byte holder[3]; /* entry + 1 */
bool waits[6];
bool runs[6];
bool isSuspended[3];

byte resets, kills, suspends;
byte m, k; /* used within single steps only */

#define CHECK assert(!((runs[0] || runs[1] || runs[2]) && (runs[3] || runs[4] || runs[5])))
#define IS(e, i, s) (asked[AT(e, i)] == s)
#define ANY(e, s) (IS(e, 0, s) || IS(e, 1, s) || IS(e, 2, s))
#define isHeld(e) (ANY(e, 2) && !ANY(e, 3) && !ANY(e, 1))
#define isAwaiting (awaited[0] || awaited[1] || awaited[2])
#define KNOWN(i) (up[AT(B, i)] -> isLost[i] : !runs[AT(A, i)])
#ifdef NO_WAIT_FOR_ALL
#define areRunsKnown true
#else
#define areRunsKnown (KNOWN(0) && KNOWN(1) && KNOWN(2))
#endif
#ifdef NO_CLAIM
#define mayOrder(e) (e == B || isHeld(e))
#else
#define mayOrder(e) isHeld(e)
#endif
#ifdef EARLY_RELEASE
#define isOver(e) true
#else
#define isOver(e) (ordered[e] == 0)
#endif
#ifdef STALE
#define HEARD(i) true
#else
#define HEARD(i) !(toEntry[AT(B, i)] ?? [LINKED])
#endif
#ifdef LONG_CUT
#define STAYS(i) (runs[AT(A, i)] && !up[AT(A, i)])
#else
#define STAYS(i) (runs[AT(A, i)] || toAgent[AT(A, i)] ?? [ORDER])
#endif
#define hasNoRuns !(STAYS(0) || STAYS(1) || STAYS(2))
/* Dispatcher::isRelinking: a link comes again within the wait, unless its agent is suspended. */
#ifdef NO_RELINK_WAIT
#define isRelinking(e) false
#else
#define isMissing(e, i) (!up[AT(e, i)] && !isSuspended[i])
#define isRelinking(e) (isMissing(e, 0) || isMissing(e, 1) || isMissing(e, 2))
#endif
#define hasPlace(i) ((len(toEntry[AT(A, i)]) < 4) && (len(toEntry[AT(B, i)]) < 4))
#define has2(c) (len(c) <= 2)

/* Once A can have no run any more, nothing is left to check: the states from there on are left out. */
#define COMES(i) (runs[i] || toAgent[i] ?? [ORDER])
#define mayRun ((!hasLeft && !isUsed[A] && !isDead) || COMES(0) || COMES(1) || COMES(2))

inline tell(e, i, what)
{
    if
    :: up[AT(e, i)] -> toEntry[AT(e, i)]!what
    :: else
    fi
}

inline clear(c)
{
    do
    :: c?m
    :: empty(c) -> break
    od;
    m = 0
}

/* JobClaims::passOn */
inline passOn(i)
{
    if
    :: waits[AT(A, i)] -> holder[i] = A + 1; waits[AT(A, i)] = false; tell(A, i, GRANT)
    :: !waits[AT(A, i)] && waits[AT(B, i)] -> holder[i] = B + 1; waits[AT(B, i)] = false; tell(B, i, GRANT)
    :: else -> holder[i] = 0
    fi
}

inline release(e, i)
{
    waits[AT(e, i)] = false;
    if
    :: holder[i] == e + 1 -> passOn(i)
    :: else
    fi
}

inline claim(e, i, takes)
{
    if
    :: holder[i] == 0 || (takes && holder[i] == A + 1 && !up[AT(A, i)]) -> holder[i] = e + 1; waits[AT(e, i)] = false
    :: else
    fi;
    if
    :: holder[i] == e + 1 -> toEntry[AT(e, i)]!GRANT
    :: else -> waits[AT(e, i)] = true; toEntry[AT(e, i)]!((up[AT(1 - e, i)] -> REFUSE : REFUSE_LOST))
    fi
}

inline endRun(e, i)
{
    runs[AT(e, i)] = false;
    tell(e, i, OVER);
    if
    :: e == A -> tell(B, i, OTHER_OVER)
    :: else
    fi
}

/* What both ends notice; the agent tells B of A's runs, then that A is lost. */
inline unlink(e, i)
{
    up[AT(e, i)] = false;
    clear(toAgent[AT(e, i)]);
    clear(toEntry[AT(e, i)]);
    asked[AT(e, i)] = (asked[AT(e, i)] == 1 || asked[AT(e, i)] == 2 -> 4 : asked[AT(e, i)]);
    if
    :: e == B -> isLost[i] = false; mayTake[i] = false
    :: else
    fi
}

inline tellLost(i)
{
    waits[AT(A, i)] = false;
    tell(B, i, (runs[AT(A, i)] -> LOST_RUN : LOST));
    if
    :: holder[i] == A + 1 && waits[AT(B, i)] -> tell(B, i, REFUSE_LOST)
    :: else
    fi
}

inline link(e, i)
{
    up[AT(e, i)] = true;
    toAgent[AT(e, i)]!((asked[AT(e, i)] != 0 -> FULL : NONE));
    asked[AT(e, i)] = (asked[AT(e, i)] == 4 -> 1 : asked[AT(e, i)]);
    if
    :: ordered[e] == i + 1 && !runs[AT(e, i)] -> toEntry[AT(e, i)]!OVER /* RunQuery */
    :: else
    fi;
    if
    :: e == A -> tell(B, i, LINKED)
    :: e == B && !up[AT(A, i)] -> toEntry[AT(B, i)]!((runs[AT(A, i)] -> LOST_RUN : LOST))
    :: else
    fi
}

proctype Agent(byte i) provided (mayRun)
{
    byte e;
end:
    do
    :: d_step {
        !isSuspended[i] && hasPlace(i) && (len(toAgent[AT(A, i)]) > 0) -> e = A; toAgent[AT(A, i)]?m;
        if
        :: m == CLAIM -> claim(e, i, false)
        :: m == TAKE -> claim(e, i, true)
        :: m == FULL -> claim(e, i, false)
        :: m == NONE || m == RELEASE -> release(e, i)
        :: m == ORDER && !runs[AT(1 - e, i)] -> runs[AT(e, i)] = true; CHECK
        :: m == ORDER && runs[AT(1 - e, i)] -> toEntry[AT(e, i)]!OVER /* RunGate::refusalOf */
        :: m == STOP -> if :: runs[AT(e, i)] -> endRun(e, i) :: else fi
        fi;
        m = 0; e = 0
    }
    :: d_step {
        !isSuspended[i] && hasPlace(i) && (len(toAgent[AT(B, i)]) > 0) -> e = B; toAgent[AT(B, i)]?m;
        if
        :: m == CLAIM -> claim(e, i, false)
        :: m == TAKE -> claim(e, i, true)
        :: m == FULL -> claim(e, i, false)
        :: m == NONE || m == RELEASE -> release(e, i)
        :: m == ORDER && !runs[AT(1 - e, i)] -> runs[AT(e, i)] = true; CHECK
        :: m == ORDER && runs[AT(1 - e, i)] -> toEntry[AT(e, i)]!OVER /* RunGate::refusalOf */
        :: m == STOP -> if :: runs[AT(e, i)] -> endRun(e, i) :: else fi
        fi;
        m = 0; e = 0
    }
    /* A run ends */
    :: d_step { runs[AT(A, i)] && isSuspended[i] -> runs[AT(A, i)] = false }
    :: d_step { runs[AT(A, i)] && !isSuspended[i] && hasPlace(i) -> endRun(A, i) }
    /* JobClaims::expire */
    :: d_step { !isSuspended[i] && holder[i] == A + 1 && !up[AT(A, i)] && hasNoRuns && hasPlace(i) -> passOn(i) }
    /* Links of A */
    :: d_step { resets < RESETS && up[AT(A, i)] && !isSuspended[i] && has2(toEntry[AT(B, i)]) -> resets++; unlink(A, i); tellLost(i) }
    :: d_step { !up[AT(A, i)] && !isDead && !isSuspended[i] && has2(toEntry[AT(B, i)]) -> link(A, i) }
    /* Suspension: entries notice, one by one; the agent closes all links when it wakes */
    :: d_step { suspends < SUSPENDS && !isSuspended[i] -> suspends++; isSuspended[i] = true }
    :: d_step { isSuspended[i] && up[AT(A, i)] -> unlink(A, i) }
    :: d_step { isSuspended[i] && up[AT(B, i)] -> unlink(B, i) }
    :: d_step {
        isSuspended[i] && !up[AT(A, i)] && !up[AT(B, i)] && !runs[AT(A, i)] ->
        isSuspended[i] = false; runs[AT(B, i)] = false; waits[AT(A, i)] = false; waits[AT(B, i)] = false
    }
    :: d_step { !up[AT(B, i)] && !isSuspended[i] -> link(B, i) }
    od
}

#ifdef ASK_LATER
#define mayAsk(e) !isRelinking(e) /* not in the code */
#else
#define mayAsk(e) true
#endif
/* The first two of the linked agents, by rank. */
inline ask(e)
{
    k = 0; m = 0;
    do
    :: k < AGENTS && m < 2 ->
        if
        :: up[AT(e, k)] && asked[AT(e, k)] == 0 -> asked[AT(e, k)] = 1; toAgent[AT(e, k)]!CLAIM; m++
        :: else
        fi;
        k++
    :: else -> break
    od;
    k = 0; m = 0
}

inline sendAll(e, what)
{
    k = 0;
    do
    :: k < AGENTS ->
        if
        :: up[AT(e, k)] && asked[AT(e, k)] != 0 -> toAgent[AT(e, k)]!what
        :: else
        fi;
        asked[AT(e, k)] = 0;
        k++
    :: else -> break
    od;
    k = 0
}

proctype Entry(byte e) provided (mayRun)
{
    byte i;
end:
    do
    :: d_step {
        hasJob[e] && !isDead && mayAsk(e) && !ANY(e, 1) && !ANY(e, 2) && !ANY(e, 3) && (len(toAgent[AT(e, 0)]) < 3) && (len(toAgent[AT(e, 1)]) < 3) &&
            (len(toAgent[AT(e, 2)]) < 3) && (up[AT(e, 0)] && asked[AT(e, 0)] == 0 || up[AT(e, 1)] && asked[AT(e, 1)] == 0 || up[AT(e, 2)] && asked[AT(e, 2)] == 0) ->
        ask(e)
    }
    /* Dispatcher::releaseClaimIfOver */
    :: d_step {
        !hasJob[e] && (asked[AT(e, 0)] || asked[AT(e, 1)] || asked[AT(e, 2)]) && isOver(e) && (len(toAgent[AT(e, 0)]) < 3) &&
            (len(toAgent[AT(e, 1)]) < 3) && (len(toAgent[AT(e, 2)]) < 3) ->
        sendAll(e, RELEASE)
    }
    od
}

/* An entry and one of its links. */
proctype EntryLink(byte e; byte i) provided (mayRun)
{
end:
    do
    :: d_step {
        toEntry[AT(e, i)]?m ->
        if
        :: m == GRANT -> asked[AT(e, i)] = (asked[AT(e, i)] != 0 -> 2 : 0); mayTake[i] = mayTake[i] && e == A
        :: m == REFUSE -> asked[AT(e, i)] = (asked[AT(e, i)] != 0 -> 3 : 0); mayTake[i] = mayTake[i] && e == A
        :: m == REFUSE_LOST -> asked[AT(e, i)] = (asked[AT(e, i)] != 0 -> 3 : 0); mayTake[i] = (e == B || mayTake[i])
        :: m == LOST -> isLost[i] = true
        :: m == LOST_RUN -> awaited[i] = true; isLost[i] = true
        :: m == LINKED -> isLost[i] = false
        :: m == OVER -> ordered[e] = (ordered[e] == i + 1 -> 0 : ordered[e])
        :: m == OTHER_OVER -> awaited[i] = false
        fi;
        m = 0
    }
    /* Dispatcher::dispatchQueued, sendRunOrder */
    :: d_step {
        hasJob[e] && !(e == A && hasLeft) && !isUsed[e] && up[AT(e, i)] && !isRelinking(e) && mayOrder(e) && (e == A || !isAwaiting) &&
            (e == B || HEARD(i)) && (len(toAgent[AT(e, i)]) < 3) ->
        isUsed[e] = true; ordered[e] = i + 1; toAgent[AT(e, i)]!ORDER
    }
    /* The run is over by the time bounds */
    :: d_step { ordered[e] == i + 1 && !up[AT(e, i)] && !runs[AT(e, i)] -> ordered[e] = 0 }
    :: d_step { e == B && awaited[i] && !up[AT(B, i)] && !runs[AT(A, i)] -> awaited[i] = false }
    /* Dispatcher::takeOverClaims */
    :: d_step {
        e == B && mayTake[i] && up[AT(B, i)] && areRunsKnown && (len(toAgent[AT(B, i)]) < 3) ->
        mayTake[i] = false; toAgent[AT(B, i)]!TAKE
    }
    /* A notices that its caller has left */
    :: d_step {
        e == A && i == 0 && hasLeft && hasJob[A] && !isDead ->
        hasJob[A] = false
    }
    :: d_step {
        e == A && !hasJob[A] && ordered[A] == i + 1 && up[AT(A, i)] && len(toAgent[AT(A, i)]) == 0 && runs[AT(A, i)] -> toAgent[AT(A, i)]!STOP
    }
    od
}

active proctype Caller() provided (mayRun)
{
end:
    do
    :: d_step { !hasLeft -> hasLeft = true; hasJob[B] = true }
    /* A is killed */
    :: d_step {
        kills < KILLS && !isDead && has2(toEntry[AT(B, 0)]) && has2(toEntry[AT(B, 1)]) && has2(toEntry[AT(B, 2)]) ->
        kills++;
        isDead = true; hasJob[A] = false; ordered[A] = 0;
        k = 0;
        do
        :: k < AGENTS ->
            if
            :: up[AT(A, k)] -> unlink(A, k); if :: !isSuspended[k] -> tellLost(k) :: else fi
            :: else
            fi;
            asked[AT(A, k)] = 0;
            k++
        :: else -> break
        od;
        k = 0
    }
    od
}

init {
    atomic {
        hasJob[A] = true;
        up[0] = true; up[1] = true; up[2] = true; up[3] = true; up[4] = true; up[5] = true;
        run Agent(0); run Agent(1); run Agent(2);
        run Entry(A); run Entry(B);
        run EntryLink(A, 0); run EntryLink(A, 1); run EntryLink(A, 2);
        run EntryLink(B, 0); run EntryLink(B, 1); run EntryLink(B, 2)
    }
}
