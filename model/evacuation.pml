/*
 * Evacuation of a failure domain: one request that the operators set, remove and set again, two entries that follow the
 * store, one agent in the domain with its server.
 *
 * Names match the specification: Dispatcher::setEvacuations, the message Evacuations, RunGate (onOrder, callStart,
 * startAnswered). The store's counter grows with every write; a version here stands for all versions from one change of
 * the request to the next. Odd versions say evacuated. The message on a new link goes out before any order on it.
 *
 * Time goes by in ticks. What an entry in contact with the store can read, and what lies on the link of an entry that
 * isn't suspended, is read or delivered before the end of the tick after the one in which it came up. The server carries
 * a start call out within CALL ticks or never (the lease that the call carries). KNOW ticks thus stand for the time of
 * a watch and a message, CALL ticks for the longest lease. An entry may stay cut off from the store, or suspended, for ever.
 * To the agent, a link that stalls is a suspended entry. A restarted entry takes orders from callers as soon as it has
 * listed the store, or the other entry has passed its configuration on to it; that brings no requests.
 *
 * Properties, as assertions:
 * (a) no start call, first or repeated, once the agent has received a version that says evacuated and none above it;
 * (b) once an entry has been linked to the agent and in contact with the store for KNOW ticks after the last write, the
 *     agent knows the newest request, and CALL ticks later no task starts until it is withdrawn or the agent restarts;
 * (c) KNOW ticks after the request was withdrawn, counted in the same way, the agent takes orders again.
 *
 * Each -D leaves one mechanism out; the verifier must then find a violation:
 *   TAKE_ANY NO_CHECK_BEFORE_REPEAT NO_MESSAGE_ON_LINK NO_WITHDRAWAL, and KNOW=2, a bound that is one tick too short
 *
 * FROM_WRITE counts (b) from the write alone, as the requirement does; entry 0 has no faults, and its link to the agent
 * is made within the tick. The verifier finds that a restarted agent starts a task if an entry with old knowledge is the
 * first to greet it. CONFIRMED_FIRST is a remedy that the specification doesn't have: the agent takes no order until an
 * entry that has read the store since its last fault has greeted it. It holds only without OLD_ANSWERS, that is, if
 * listings aren't older than the store is.
 */
#define ENTRIES 2
#ifndef WRITES
#define WRITES 3 /* set, removed, set again */
#endif
#ifndef KNOW
#define KNOW 3 /* ticks until the agent knows: the rest of the present one, one for the store, one for the link */
#endif
#define CALL 1 /* ticks for which a start call may be carried out */
#ifndef CUTS
#define CUTS 1 /* losses of contact between entries and the store */
#endif
#ifndef SUSPENDS
#define SUSPENDS 1
#endif
#ifndef KILLS
#define KILLS 1 /* of entries and the agent, together */
#endif
#ifndef UNLINKS
#define UNLINKS 1
#endif
#ifndef OLD_ANSWERS
#define OLD_ANSWERS 1 /* answers of the store that are older than the store is */
#endif
#define START_CALLS 2 /* RunGateLimits::maxStartCalls */

#define IS_EVACUATED(version) ((version) % 2 == 1)

byte storeVersion;

/* Entries. */
byte known[ENTRIES]; /* version of the last setEvacuations */
bool isListed[ENTRIES];
bool isReady[ENTRIES]; /* has a configuration */
bool isCut[ENTRIES];
bool isSuspended[ENTRIES];
#ifdef CONFIRMED_FIRST
bool isConfirmed[ENTRIES]; /* has read the store since its last fault */
#define IS_CONFIRMED(n) isConfirmed[n]
#define SET_CONFIRMED(n, value) isConfirmed[n] = value
#else
#define IS_CONFIRMED(n) true
#define SET_CONFIRMED(n, value) skip
#endif
bool isReadNew[ENTRIES]; /* what is to be read came up in this tick */

/* Links: Evacuations with a version, and orders. */
#define ORDER 9
#define CONFIRMED 16 /* added to a version that comes from a confirmed entry */
bool isLinked[ENTRIES];
chan link[ENTRIES] = [2] of { byte };
bool isSentNew[ENTRIES]; /* the first message on the link was sent in this tick */

/* RunGate. */
byte gateVersion;
#ifdef CONFIRMED_FIRST
bool hasConfirmation; /* of an entry that has read the store since its last fault */
#endif
byte startCalls; /* of a run whose start has no answer yet, 0 for none */
byte call; /* ticks for which the server may carry the last start call out */

/* Ghosts. */
byte received; /* highest version that this process of the agent has received */
byte left[ENTRIES] = KNOW; /* ticks until the agent has to know what this entry can tell */
bool isTold; /* one of them has reached 0 since the last write and the agent's last restart */
byte quiet; /* ticks from then on until no task may start any more */
#ifdef FROM_WRITE
byte sinceWrite = KNOW + CALL; /* ticks left, counted from the write alone */
#endif

byte cuts, suspends, kills, unlinks, oldAnswers;
byte message; /* used within single steps only */

#define IS_IN_CONTACT(n) (!isCut[n] && !isSuspended[n])
#define CAN_TELL(n) (IS_IN_CONTACT(n) && isLinked[n])
#define READ_DUE(n) (IS_IN_CONTACT(n) && !isReadNew[n] && (!isListed[n] || known[n] != storeVersion || !IS_CONFIRMED(n)))
#define DELIVERY_DUE(n) (isLinked[n] && !isSuspended[n] && !isSentNew[n] && len(link[n]) > 0)
#ifdef FROM_WRITE
#define LINK_DUE (!isLinked[0])
#define MAY_FAIL(n) ((n) != 0)
#else
#define LINK_DUE false
#define MAY_FAIL(n) true
#endif
#define IS_DUE (READ_DUE(0) || READ_DUE(1) || DELIVERY_DUE(0) || DELIVERY_DUE(1) || LINK_DUE)

#define IS_GATE_CLOSED IS_EVACUATED(gateVersion)
#ifdef CONFIRMED_FIRST
#define IS_GATE_OPEN (!IS_GATE_CLOSED && hasConfirmation)
#else
#define IS_GATE_OPEN (!IS_GATE_CLOSED)
#endif

inline send(n, what)
{
    isSentNew[n] = isSentNew[n] || len(link[n]) == 0;
    link[n]!what
}

inline sendEvacuations(n)
{
    send(n, known[n] + (IS_CONFIRMED(n) -> CONFIRMED : 0))
}

/* The messages on the link are lost. */
inline unlink(n)
{
    isLinked[n] = false;
    isSentNew[n] = false;
    left[n] = KNOW;
    do
    :: len(link[n]) > 0 -> link[n]?message
    :: len(link[n]) == 0 -> break
    od;
    message = 0
}

/* Dispatcher::setEvacuations */
inline setEvacuations(n, version)
{
    if
    :: version > known[n] || !isListed[n] ->
        known[n] = version;
        isListed[n] = true;
        isReady[n] = true;
        SET_CONFIRMED(n, true);
        if
#ifdef NO_WITHDRAWAL
        :: isLinked[n] && IS_EVACUATED(version) -> sendEvacuations(n)
#else
        :: isLinked[n] -> sendEvacuations(n)
#endif
        :: else
        fi
    :: else ->
        if
        :: version == known[n] && !IS_CONFIRMED(n) ->
            SET_CONFIRMED(n, true);
            if
            :: isLinked[n] -> sendEvacuations(n)
            :: else
            fi
        :: else
        fi
    fi
}

/* RunGate::callStart */
inline callStart()
{
    assert(!IS_EVACUATED(received)); /* (a) */
    startCalls++;
    call = CALL
}

inline deliver(n)
{
    link[n]?message;
    isSentNew[n] = isSentNew[n] && len(link[n]) > 0;
    if
    :: message == ORDER ->
        /* RunGate::onOrder */
        assert(!(isTold && !IS_EVACUATED(storeVersion)) || IS_GATE_OPEN); /* (c) */
        if
        :: IS_GATE_OPEN && startCalls == 0 -> callStart()
        :: else /* refused, or resources are in use */
        fi
    :: else ->
#ifdef CONFIRMED_FIRST
        hasConfirmation = hasConfirmation || message >= CONFIRMED;
#endif
        message = message % CONFIRMED;
        received = (message > received -> message : received);
#ifdef TAKE_ANY
        gateVersion = message
#else
        gateVersion = (message > gateVersion -> message : gateVersion)
#endif
    fi;
    message = 0
}

active proctype Store()
{
    do
    :: d_step {
        storeVersion < WRITES ->
        storeVersion++;
        isReadNew[0] = IS_IN_CONTACT(0); isReadNew[1] = IS_IN_CONTACT(1);
        left[0] = KNOW; left[1] = KNOW;
#ifdef FROM_WRITE
        sinceWrite = KNOW + CALL;
#endif
        isTold = false; quiet = 0
    }
    od
}

proctype Entry(byte n)
{
    do
    /* An answer to a listing or a watch */
    :: d_step {
        IS_IN_CONTACT(n) && len(link[n]) < 2 && (!isListed[n] || known[n] != storeVersion || !IS_CONFIRMED(n)) ->
        setEvacuations(n, storeVersion);
        isReadNew[n] = false
    }
    /* An answer that is older than one before, or than what another entry has read */
    :: d_step {
        oldAnswers < OLD_ANSWERS && IS_IN_CONTACT(n) && len(link[n]) < 2 && storeVersion > 0 ->
        oldAnswers++;
        setEvacuations(n, storeVersion - 1)
    }
    /* The configuration, from the other entry */
    :: d_step { !isReady[n] && !isSuspended[n] && isReady[1 - n] -> isReady[n] = true }
    /* Dispatcher::agentLinked */
    :: d_step {
        !isLinked[n] && !isSuspended[n] ->
        isLinked[n] = true;
#ifndef NO_MESSAGE_ON_LINK
        if
        :: isListed[n] -> sendEvacuations(n)
        :: else
        fi
#endif
    }
    /* Dispatcher::sendRunOrder */
    :: d_step {
        isReady[n] && isLinked[n] && !isSuspended[n] && !IS_EVACUATED(known[n]) && len(link[n]) < 2 && !(link[n]??[ORDER]) ->
        send(n, ORDER)
    }
    /* Faults */
    :: d_step { MAY_FAIL(n) && cuts < CUTS && !isCut[n] -> cuts++; isCut[n] = true; isReadNew[n] = false; SET_CONFIRMED(n, false); left[n] = KNOW }
    :: d_step { isCut[n] -> isCut[n] = false; isReadNew[n] = !isSuspended[n] }
    :: d_step {
        MAY_FAIL(n) && suspends < SUSPENDS && !isSuspended[n] ->
        suspends++;
        isSuspended[n] = true; isReadNew[n] = false; SET_CONFIRMED(n, false); left[n] = KNOW
    }
    :: d_step { isSuspended[n] -> isSuspended[n] = false; isReadNew[n] = !isCut[n]; isSentNew[n] = len(link[n]) > 0 }
    :: d_step {
        MAY_FAIL(n) && kills < KILLS ->
        kills++;
        unlink(n);
        known[n] = 0; isListed[n] = false; isReady[n] = false; SET_CONFIRMED(n, false); isSuspended[n] = false;
        isReadNew[n] = !isCut[n]
    }
    :: d_step { unlinks < UNLINKS && isLinked[n] -> unlinks++; unlink(n) }
    od
}

proctype RunGate()
{
    byte n;
    do
    /* A message arrives; of a suspended entry, it was under way */
    :: d_step {
        isLinked[0] && len(link[0]) > 0 -> n = 0;
        deliver(n)
    }
    :: d_step {
        isLinked[1] && len(link[1]) > 0 -> n = 1;
        deliver(n);
        n = 0
    }
    /* RunGate::startAnswered: an answer, or none */
    :: d_step { startCalls > 0 -> startCalls = 0 }
#ifdef NO_CHECK_BEFORE_REPEAT
    :: d_step { startCalls > 0 && startCalls < START_CALLS -> callStart() }
#else
    :: d_step { startCalls > 0 && startCalls < START_CALLS && IS_GATE_OPEN -> callStart() }
#endif
    /* kill -9 and restart: the process knows nothing */
    :: d_step {
        kills < KILLS ->
        kills++;
        unlink(0); unlink(1);
        gateVersion = 0; received = 0;
#ifdef CONFIRMED_FIRST
        hasConfirmation = false;
#endif
       
        startCalls = 0;
        isTold = false; quiet = 0
    }
    od
}

/* The server carries the start call out. */
active proctype Server()
{
    do
    :: d_step {
        call > 0 ->
        call = 0;
#ifdef FROM_WRITE
        assert(!(IS_EVACUATED(storeVersion) && sinceWrite == 0));
#endif
        assert(!(IS_EVACUATED(storeVersion) && isTold && quiet == 0)) /* (b) */
    }
    od
}

/* A tick: only when all that has to happen within it has happened. */
active proctype Time()
{
    byte i;
    do
    :: d_step {
        !IS_DUE ->
        call = (call > 0 -> call - 1 : 0);
        quiet = (quiet > 0 -> quiet - 1 : 0);
#ifdef FROM_WRITE
        sinceWrite = (sinceWrite > 0 -> sinceWrite - 1 : 0);
#endif
        i = 0;
        do
        :: i < ENTRIES ->
            left[i] = (CAN_TELL(i) && !isTold -> left[i] - 1 : left[i]);
            if
            :: left[i] == 0 ->
                isTold = true;
                quiet = (IS_EVACUATED(storeVersion) -> CALL : 0);
                left[0] = KNOW; left[1] = KNOW /* one value for fewer states */
            :: else
            fi;
            isReadNew[i] = false;
            isSentNew[i] = false;
            i++
        :: else -> break
        od;
        i = 0;
        assert(!isTold || gateVersion == storeVersion) /* (b) */
    }
    od
}

init {
    atomic {
        isListed[0] = true; isListed[1] = true;
        isReady[0] = true; isReady[1] = true;
        isLinked[0] = true; isLinked[1] = true;
        run Entry(0);
        run Entry(1);
        run RunGate()
    }
}
