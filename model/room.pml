/*
 * Runs on the platform: one owner (and its successor), agents, backend servers, leases, late orders, lost answers.
 *
 * Names match the code: Dispatcher::sendRunOrder, Dispatcher::markRunsLost, RunGate::onOrder, startAnswered, stopAnswered,
 * poll, pollAnswered, endAll, startIncarnation, tickOwners. A run is one of RUNS runs of one of TASKS tasks; each goes to one server.
 *
 * Time goes by in ticks, as countdowns. A message between an agent and its server that are not cut from each other is
 * carried out within the tick; in a cut, or if it is late, it may be carried out at any later time, and its answer is
 * lost. A start that comes after its lease is carried out if the server's lease was renewed meanwhile, the worst reading of the interface.
 * Stops of an agent may get lost, or arrive at any later time, while its other calls are answered (MUTES).
 *
 * Properties: no two runs of a task beside one another, no server over its room, no start after a success was noted.
 *
 * Each -D leaves one mechanism out; the verifier must then find a violation:
 *   NO_STOP NO_FENCE NO_RAISE NO_LIFE NO_SETTLE SHORT_WAIT OLD_LISTING EARLY_ROOM NO_OWNER_STOP REFUSAL_PROVES NO_CAP
 * but NO_OWNER_STOP only together with NO_CAP: the bound of leases holds without stops.
 */
#ifndef TASKS
#define TASKS 1
#endif
#ifndef SERVERS
#define SERVERS 2
#endif
#ifndef RUNS
#define RUNS 2
#endif
#ifndef CUTS
#define CUTS 1 /* between agents and servers */
#endif
#ifndef LATES
#define LATES 1 /* starts that are carried out late */
#endif
#ifndef MUTES
#define MUTES 0 /* times in which stops to a server get lost */
#endif
#ifndef UNLINKS
#define UNLINKS 1 /* links between owner and agents that break */
#endif
#ifndef CRASHES
#define CRASHES 1 /* of servers, agents and the owner, together */
#endif
#define KEYS (TASKS * RUNS)
#define TASK_OF(k) ((k) / RUNS)

#define LEASE 2 /* ticks for which a start or look lets a server run */
#define FRESH 1 /* ticks without an answered look after which the gate is closed */
#define BOUND 5 /* ticks after which an agent's runs of a lost owner have to be over: LAPSE */
#define OWNER_WAIT 1 /* ticks after which an agent stops the runs of a lost owner */
#ifdef SHORT_WAIT
#define LAPSE 2
#else
#define LAPSE 5 /* ticks after which the owner takes the runs of a lost agent for over: OWNER_WAIT, FRESH, LEASE, 1 */
#endif

/* Owner: 0 unused, 1 ordered, 2 over, 3 succeeded. */
byte order[KEYS];
byte where[KEYS];
bool orderSent[KEYS]; /* in flight to the agent */
byte reply[KEYS]; /* in flight to the owner: 2 over, 3 succeeded */
bool ownerLife;
bool runOwner[KEYS];

/* Link of an agent and the owner. */
bool linked[SERVERS];
byte ownerLost[SERVERS]; /* countdown at the owner; only while not linked */
byte agentLost[SERVERS]; /* countdown at the agent for the owner of before */
bool isOwnerLost[SERVERS];
byte bound[SERVERS]; /* countdown at the agent to when the runs of a lost owner have to be over; only if isBounded */
bool isBounded[SERVERS];

/* Gate of an agent: 0 none, 1 starting, 2 running, 3 fencing, 4 stopping. */
byte gate[KEYS];
byte past[KEYS]; /* 2 over, 3 succeeded */
bool isSettled[KEYS]; /* a listing that was asked for from now on proves whether it runs */
byte gateLease[SERVERS];
byte stale[SERVERS]; /* ticks without an answered look */
bool lookLost[SERVERS];
byte gateLife[SERVERS]; /* life of the server that the gate knows */
bool isUnsettled[SERVERS]; /* a new agent that has not yet seen, with its fence, that nothing of before runs */
byte fence[SERVERS]; /* of its calls; higher after a restart, and after a lease has ended */

/* Between agent and server. */
bool cut[SERVERS];
bool mute[SERVERS]; /* stops don't get through */
bool startSent[KEYS];
bool isLate[KEYS]; /* the start is carried out any time later, without an answer */
byte startLeft[KEYS]; /* until the start is refused as late */
byte startLife[KEYS];
byte startFence[KEYS];
bool isRepeated[KEYS]; /* the start was sent again */
/* The first start of a run, once it was sent again: carried out any time later, without an answer. */
bool lateSent[KEYS];
byte lateLeft[KEYS];
byte lateLife[KEYS];
byte lateFence[KEYS];
bool stopSent[KEYS];
byte look[SERVERS]; /* 0 none, 1 sent, 2 listed */
byte lookFence[SERVERS];
byte lookLeft[SERVERS]; /* lease that the look carries */
bool isNewLook[SERVERS]; /* sent in this tick */
bool lookCounts[KEYS]; /* settled when the look was sent */
byte listed[KEYS]; /* the server's state of it when it made the listing */
byte listedLife[SERVERS];

/* Server: 0 never started, 1 running, 2 ended without success, 3 succeeded. */
byte ran[KEYS];
bool fenced[KEYS]; /* stopped in this life before it started */
byte lease[SERVERS];
byte life[SERVERS];
byte seenFence[SERVERS]; /* highest, in this life of the server */

byte cuts, mutes, unlinks, crashes, lates;
byte i, j, sameTask, sameServer; /* used within single steps only */
byte isOpen, unsettledBefore;

/* Does something for each run of a server for which a condition holds. */
#define EACH_OF(s, condition, what) \
    i = 0; \
    do \
    :: i < KEYS -> \
        if \
        :: where[i] == s && (condition) -> what \
        :: else \
        fi; \
        i++ \
    :: else -> break \
    od; \
    i = 0

inline checkStart(k)
{
    sameTask = 0; sameServer = 0; j = 0;
    do
    :: j < KEYS ->
        if
        :: ran[j] == 1 && TASK_OF(j) == TASK_OF(k) -> sameTask++
        :: else
        fi;
        if
        :: ran[j] == 1 && where[j] == where[k] -> sameServer++
        :: else
        fi;
        assert(!(TASK_OF(j) == TASK_OF(k) && order[j] == 3)); /* no start after a success was noted */
        j++
    :: else -> break
    od;
    assert(sameTask <= 1); /* no two runs of a task beside one another */
    assert(sameServer <= 1); /* no server over its room */
    sameTask = 0; sameServer = 0; j = 0
}

/* RunGate::endRun: the room is free, the owner is told if it is linked. */
inline endRun(k, outcome)
{
    gate[k] = 0;
    isSettled[k] = false;
    past[k] = outcome;
    if
    :: linked[where[k]] && runOwner[k] == ownerLife -> reply[k] = outcome
    :: else
    fi
}

/* What a look carried is set to one value, for fewer states. */
inline forgetLook(s)
{
    look[s] = 0; lookLeft[s] = 0; isNewLook[s] = false; lookFence[s] = 0; listedLife[s] = 0;
    EACH_OF(s, true, lookCounts[i] = false; listed[i] = 0)
}

inline endAll(s)
{
    EACH_OF(s, gate[i] != 0, endRun(i, 2))
}

/* What the owner and an agent notice when their link breaks. */
inline unlink(s)
{
    linked[s] = false;
    ownerLost[s] = LAPSE;
    if
    :: !isOwnerLost[s] -> isOwnerLost[s] = true; agentLost[s] = OWNER_WAIT
    :: else
    fi;
    if
    :: !isBounded[s] -> isBounded[s] = true; bound[s] = BOUND
    :: else
    fi;
    EACH_OF(s, true, orderSent[i] = false; reply[i] = 0)
}

/* Whether a server has a run that its owner takes for open. */
#define OPEN_AT(s, k) (order[k] == 1 && where[k] == s)
#define RUN_AT(s, k) (gate[k] != 0 && where[k] == s)
/* A tick can't pass yet: what is not cut is carried out within the tick, and a lost owner's runs are stopped. */
#define DUE_OF(k) (!cut[where[k]] && ((startSent[k] && !isLate[k]) || (stopSent[k] && !mute[where[k]]) || gate[k] == 1 || (gate[k] >= 3 && !isSettled[k] && !mute[where[k]])))
#define OWNER_DUE(s) (isOwnerLost[s] && agentLost[s] == 0)
/* With runs one look is always open; it is answered a tick after it was sent, or given up in a cut before its lease
 * ends. Runs end with their lease. */
#define LOOK_DUE(s) ((look[s] == 0 && hasRuns(s)) || (look[s] != 0 && (cut[s] -> lookLeft[s] == 1 : !isNewLook[s])) || (gateLease[s] == 0 && hasRuns(s)))
/* Its task may be started elsewhere. */
#define NEEDS_BOUND(s, k) (gate[k] != 0 && where[k] == s && (gate[k] >= 3 || !linked[s] || runOwner[k] != ownerLife))
#if KEYS > 3
#define needsBound(s) (NEEDS_BOUND(s, 0) || NEEDS_BOUND(s, 1) || NEEDS_BOUND(s, 2) || NEEDS_BOUND(s, 3))
#define hasOpen(s) (OPEN_AT(s, 0) || OPEN_AT(s, 1) || OPEN_AT(s, 2) || OPEN_AT(s, 3))
#define hasRuns(s) (RUN_AT(s, 0) || RUN_AT(s, 1) || RUN_AT(s, 2) || RUN_AT(s, 3))
#define isRunDue (DUE_OF(0) || DUE_OF(1) || DUE_OF(2) || DUE_OF(3))
#else
#define needsBound(s) (NEEDS_BOUND(s, 0) || NEEDS_BOUND(s, 1))
#define hasOpen(s) (OPEN_AT(s, 0) || OPEN_AT(s, 1))
#define hasRuns(s) (RUN_AT(s, 0) || RUN_AT(s, 1))
#define isRunDue (DUE_OF(0) || DUE_OF(1))
#endif
#if SERVERS > 1
#define isDue (isRunDue || OWNER_DUE(0) || OWNER_DUE(1) || LOOK_DUE(0) || LOOK_DUE(1))
#else
#define isDue (isRunDue || OWNER_DUE(0) || LOOK_DUE(0))
#endif

/* RunGate::grantLease */
#ifdef NO_CAP
#define GRANT(s) LEASE
#else
#define GRANT(s) (isBounded[s] && bound[s] < LEASE && needsBound(s) -> bound[s] : LEASE)
#endif

#ifdef NO_LIFE
#define IS_FOR_LIFE(k) true
#else
#define IS_FOR_LIFE(k) (startLife[k] == life[where[k]])
#endif
#ifdef NO_FENCE
#define HAS_FENCE(k) true
#else
#define HAS_FENCE(k) (startFence[k] >= seenFence[where[k]])
#endif

inline onStart(k, isAnswered)
{
    startSent[k] = false;
    if
    :: ran[k] == 1 && IS_FOR_LIFE(k) && HAS_FENCE(k) && !fenced[k] -> /* the server has the run already */
        if
        :: isAnswered && gate[k] == 1 -> gate[k] = 2; isSettled[k] = true
        :: else
        fi
    :: (startLeft[k] > 0 || lease[where[k]] > 0) && IS_FOR_LIFE(k) && HAS_FENCE(k) && !fenced[k] && ran[k] == 0 ->
        ran[k] = 1;
        seenFence[where[k]] = (startFence[k] > seenFence[where[k]] -> startFence[k] : seenFence[where[k]]);
        lease[where[k]] = (startLeft[k] > lease[where[k]] -> startLeft[k] : lease[where[k]]);
        checkStart(k);
        if
        :: isAnswered && gate[k] == 1 -> gate[k] = 2; isSettled[k] = true
        :: else
        fi
    :: else ->
        if
#ifdef REFUSAL_PROVES
        :: isAnswered && gate[k] != 0 -> endRun(k, 2)
#else
        :: isAnswered && gate[k] != 0 && !isRepeated[k] -> endRun(k, 2)
        :: isAnswered && gate[k] == 1 && isRepeated[k] -> gate[k] = 3; stopSent[k] = true
#endif
        :: else
        fi
    fi;
    startLeft[k] = 0; startLife[k] = 0; startFence[k] = 0; isLate[k] = false
}

/* The server gets the first start of a run that was sent again. */
inline onLateStart(k)
{
    lateSent[k] = false;
    if
    :: (lateLeft[k] > 0 || lease[where[k]] > 0) && lateLife[k] == life[where[k]] && lateFence[k] >= seenFence[where[k]] && !fenced[k] && ran[k] == 0 ->
        ran[k] = 1;
        seenFence[where[k]] = (lateFence[k] > seenFence[where[k]] -> lateFence[k] : seenFence[where[k]]);
        lease[where[k]] = (lateLeft[k] > lease[where[k]] -> lateLeft[k] : lease[where[k]]);
        checkStart(k)
    :: else
    fi;
    lateLeft[k] = 0; lateLife[k] = 0; lateFence[k] = 0
}

inline onStop(k, isAnswered)
{
    stopSent[k] = false;
    fenced[k] = true;
    if
    :: ran[k] == 1 -> ran[k] = 2
    :: else
    fi;
    if
    :: isAnswered && gate[k] >= 3 -> gate[k] = 4; isSettled[k] = true
    :: else
    fi
}

inline onListing(s)
{
    unsettledBefore = isUnsettled[s];
    isUnsettled[s] = false;
    i = 0;
    do
    :: i < KEYS ->
        if
        :: gate[i] != 0 && where[i] == s && listed[i] == 3 -> endRun(i, 3)
        :: gate[i] != 0 && where[i] == s && listed[i] == 2 -> endRun(i, 2)
        :: gate[i] != 0 && where[i] == s && listed[i] == 0 && lookCounts[i] -> endRun(i, 2)
        /* A run that the gate doesn't know is stopped. */
        :: gate[i] == 0 && where[i] == s && listed[i] == 1 -> stopSent[i] = true; isUnsettled[s] = unsettledBefore
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0; unsettledBefore = 0
}

#define CAN_ORDER(k) (order[k] == 0 && ((k) % RUNS == 0 || order[(k) - 1] == 2))

inline send(k, s)
{
    order[k] = 1; where[k] = s; orderSent[k] = true; runOwner[k] = ownerLife
}

/* RunGate::refusalOf: the gate is open and has room. */
inline onOrder(k, s)
{
    orderSent[k] = false;
    isOpen = stale[s] <= FRESH && past[k] == 0;
    i = 0;
    do
    :: i < KEYS ->
        if
#ifdef EARLY_ROOM
        :: gate[i] != 0 && gate[i] < 3 && where[i] == s -> isOpen = false
#else
        :: gate[i] != 0 && where[i] == s -> isOpen = false
#endif
        :: else
        fi;
        i++
    :: else -> break
    od;
    if
    :: isOpen ->
        gate[k] = 1; isSettled[k] = false;
        startSent[k] = true; startLeft[k] = LEASE; startLife[k] = gateLife[s]; startFence[k] = fence[s];
        gateLease[s] = LEASE
    :: else -> reply[k] = (past[k] != 0 -> past[k] : 2)
    fi;
    i = 0; isOpen = false
}

/* What happens to one run. */
proctype Run(byte k)
{
    do
    /* Dispatcher::sendRunOrder: the runs of before are over and none succeeded */
    :: d_step { CAN_ORDER(k) && linked[0] -> send(k, 0) }
#if SERVERS > 1
    :: d_step { CAN_ORDER(k) && linked[1] -> send(k, 1) }
#endif
    /* DispatcherAgents::onResult */
    :: d_step {
        reply[k] != 0 && linked[where[k]] ->
        if
        :: order[k] == 1 -> order[k] = reply[k]
        :: else
        fi;
        reply[k] = 0
    }
    :: d_step { orderSent[k] && linked[where[k]] -> onOrder(k, where[k]) }
    /* RunGate::startAnswered: no answer in time, the start is sent again */
    :: d_step {
        gate[k] == 1 && !isRepeated[k] && (cut[where[k]] || isLate[k]) ->
        isRepeated[k] = true;
        lateSent[k] = startSent[k];
        lateLeft[k] = (startSent[k] -> startLeft[k] : 0);
        lateLife[k] = (startSent[k] -> startLife[k] : 0);
        lateFence[k] = (startSent[k] -> startFence[k] : 0);
        isLate[k] = false;
        startSent[k] = true; startLeft[k] = GRANT(where[k]); startLife[k] = gateLife[where[k]]; startFence[k] = fence[where[k]];
        gateLease[where[k]] = (startLeft[k] > gateLease[where[k]] -> startLeft[k] : gateLease[where[k]])
    }
    :: d_step { lateSent[k] -> onLateStart(k) }
    /* RunGate::startAnswered: no answer in time, the run is fenced */
    :: d_step {
        gate[k] == 1 && (cut[where[k]] || isLate[k]) ->
#ifdef NO_STOP
        endRun(k, 2)
#else
        gate[k] = 3; stopSent[k] = true
#endif
    }
    /* RunGate::tickStops: a stop without an answer is sent again */
    :: d_step { gate[k] >= 3 && !stopSent[k] && !isSettled[k] -> stopSent[k] = true }
    /* The server gets a start and its answer arrives: refused if late, for another life, or after its stop */
    :: d_step { startSent[k] && !isLate[k] -> onStart(k, true) }
    :: d_step { startSent[k] && (cut[where[k]] || isLate[k]) -> onStart(k, false) }
    :: d_step { startSent[k] && !isLate[k] && lates < LATES -> lates++; isLate[k] = true }
    /* The server gets a stop */
    :: d_step { stopSent[k] && !mute[where[k]] -> onStop(k, true) }
    :: d_step { stopSent[k] && (cut[where[k]] || mute[where[k]]) -> onStop(k, false) }
    :: d_step { ran[k] == 1 -> ran[k] = 3 }
    :: d_step { ran[k] == 1 -> ran[k] = 2 }
    od
}

/* What happens to one agent and its server. */
proctype Agent(byte s)
{
    do
    /* DispatcherAgents::tickLinks: agent out of reach; a caller sends again to another entry no sooner */
    :: d_step {
        !linked[s] && ownerLost[s] == 0 && hasOpen(s) ->
        EACH_OF(s, order[i] == 1, order[i] = 2)
    }
    /* RunGate::tickOwners */
    :: d_step {
        isOwnerLost[s] && agentLost[s] == 0 ->
        isOwnerLost[s] = false;
#ifndef NO_OWNER_STOP
        EACH_OF(s, gate[i] != 0 && gate[i] < 3 && (!linked[s] || runOwner[i] != ownerLife), gate[i] = (gate[i] == 1 -> 3 : 4); stopSent[i] = true)
#endif
    }
    /* RunGate::look */
    :: d_step {
        look[s] == 0 && (hasRuns(s) || isUnsettled[s]) ->
        look[s] = 1;
        lookFence[s] = fence[s];
        isNewLook[s] = true;
        lookLeft[s] = (lookLost[s] || isUnsettled[s] -> 0 : GRANT(s));
        gateLease[s] = (lookLeft[s] > gateLease[s] -> lookLeft[s] : gateLease[s]);
#ifdef OLD_LISTING
        EACH_OF(s, gate[i] != 0, lookCounts[i] = true)
#else
        EACH_OF(s, isSettled[i], lookCounts[i] = true)
#endif
    }
    /* The server takes a look, perhaps late */
    :: d_step {
        look[s] == 1 ->
        look[s] = 2;
        listedLife[s] = life[s];
        seenFence[s] = (lookFence[s] > seenFence[s] -> lookFence[s] : seenFence[s]);
        lease[s] = (lookLeft[s] > lease[s] -> lookLeft[s] : lease[s]);
        EACH_OF(s, true, listed[i] = ran[i])
    }
    /* RunGate::looked: no answer */
    :: d_step { look[s] != 0 && cut[s] -> forgetLook(s); lookLost[s] = true }
    /* RunGate::looked: a listing */
    :: d_step {
        look[s] == 2 && !cut[s] ->
        lookLost[s] = false;
        if
        :: listedLife[s] != gateLife[s] && listedLife[s] == life[s] -> gateLife[s] = listedLife[s]; endAll(s)
        :: listedLife[s] == gateLife[s] -> onListing(s)
        :: else /* of an earlier life */
        fi;
        forgetLook(s)
    }
    /* RunGate::tick: the lease has ended */
    :: d_step {
        gateLease[s] == 0 && hasRuns(s) ->
        endAll(s);
#ifndef NO_RAISE
        fence[s]++
#endif
    }
    /* Links again; DispatcherAgents::agentLinked asks about open runs */
    :: d_step {
        !linked[s] && !isUnsettled[s] && ownerLost[s] < LAPSE ->
        linked[s] = true;
        ownerLost[s] = 0;
        EACH_OF(s, order[i] == 1 && runOwner[i] == ownerLife && gate[i] == 0, past[i] = (past[i] == 0 -> 2 : past[i]); reply[i] = past[i])
    }
    /* Faults */
    :: d_step { cuts < CUTS && !cut[s] -> cuts++; cut[s] = true }
    :: d_step { cut[s] -> cut[s] = false }
    :: d_step { mutes < MUTES && !mute[s] -> mutes++; mute[s] = true }
    :: d_step { mute[s] -> mute[s] = false }
    :: d_step { unlinks < UNLINKS && linked[s] -> unlinks++; unlink(s) }
    /* A server ends and another life is at its address: nothing runs, nothing is remembered */
    :: d_step {
        crashes < CRASHES ->
        crashes++;
        life[s]++; lease[s] = 0;
        EACH_OF(s, true, ran[i] = (ran[i] == 1 -> 2 : ran[i]); fenced[i] = false);
        seenFence[s] = 0
    }
    /* An agent restarts: it remembers nothing */
    :: d_step {
        crashes < CRASHES ->
        crashes++;
        fence[s]++;
        if
        :: linked[s] -> unlink(s)
        :: else
        fi;
        isOwnerLost[s] = false; agentLost[s] = 0;
        isBounded[s] = false; bound[s] = 0;
        forgetLook(s);
        lookLost[s] = false; gateLease[s] = 0; gateLife[s] = life[s];
#ifndef NO_SETTLE
        isUnsettled[s] = true;
#endif
        EACH_OF(s, true, gate[i] = 0; past[i] = 0; isSettled[i] = false)
    }
    od
}

/* A tick: only when all that has to happen within it has happened. */
active proctype Time()
{
    do
    :: d_step {
        !isDue ->
        j = 0;
        do
        :: j < SERVERS ->
            ownerLost[j] = (ownerLost[j] > 0 -> ownerLost[j] - 1 : 0);
            agentLost[j] = (agentLost[j] > 0 -> agentLost[j] - 1 : 0);
            gateLease[j] = (gateLease[j] > 0 -> gateLease[j] - 1 : 0);
            lookLeft[j] = (lookLeft[j] > 0 -> lookLeft[j] - 1 : 0);
            isNewLook[j] = false;
            isBounded[j] = isBounded[j] && (needsBound(j) || !linked[j]);
            bound[j] = (isBounded[j] && bound[j] > 0 -> bound[j] - 1 : 0);
            stale[j] = (!cut[j] -> 0 : (stale[j] <= FRESH -> stale[j] + 1 : stale[j]));
            lease[j] = (lease[j] > 0 -> lease[j] - 1 : 0);
            EACH_OF(j, ran[i] == 1 && lease[j] == 0, ran[i] = 2) /* lapsed */;
            /* Without runs no lease matters, a start brings its own; one value for fewer states. */
            gateLease[j] = (hasRuns(j) -> gateLease[j] : 0);
            lookLost[j] = lookLost[j] && (hasRuns(j) || isUnsettled[j]);
            j++
        :: else -> break
        od;
        j = 0;
        i = 0;
        do
        :: i < KEYS ->
            startLeft[i] = (startLeft[i] > 0 -> startLeft[i] - 1 : 0);
            lateLeft[i] = (lateLeft[i] > 0 -> lateLeft[i] - 1 : 0);
            i++
        :: else -> break
        od;
        i = 0
    }
    :: d_step {
        /* The owner ends; its successor gets the job again from the caller */
        crashes < CRASHES && !ownerLife ->
        crashes++;
        ownerLife = true;
        j = 0;
        do
        :: j < SERVERS -> unlink(j); j++
        :: else -> break
        od;
        j = 0
    }
    od
}

init {
    atomic {
        linked[0] = true; run Agent(0);
#if SERVERS > 1
        linked[1] = true; run Agent(1);
#endif
        run Run(0);
#if KEYS > 1
        run Run(1);
#endif
#if KEYS > 2
        run Run(2);
#endif
#if KEYS > 3
        run Run(3)
#endif
    }
}
