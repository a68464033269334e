/*
 * Sessions, starts, answers, cancellation and recovery. One job of TASKS tasks, AGENTS agents, one home entry that may
 * crash, RECOVERERS entries that recover the job afterwards.
 *
 * The network loses, delays, doubles and reorders: a message once sent is a bit that stays set and may be received
 * any number of times at any later moment, or never.
 *
 * Names match the code: gate = AgentCore::m_jobs, attempt, fenced, abandoned, possibleRuns (startsLeft here), publishAnswer (reveal), recover.
 *
 * Each -D below leaves one mechanism out; the verifier must then find a violation:
 *   NO_GATE NO_TOMBSTONE NO_ATTEMPT NO_INCARNATION NO_FENCE NO_ABANDON EARLY_NOT_RUN RESTART_UNKNOWN UNCONFIRMED_REVEAL
 *   NO_DRAIN_CHECK PARTIAL_ANSWER NO_REFUSAL MISSING_WITHOUT_END
 */
#ifndef TASKS
#define TASKS 2
#endif
#ifndef AGENTS
#define AGENTS 2
#endif
#ifndef RECOVERERS
#define RECOVERERS 1
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 3 /* attempt numbers 1 and 2; 0 is none */
#endif
#define LIVES 2 /* lives of an agent */
#define CELLS (AGENTS * TASKS * ATTEMPTS)
#define CELL(a, t, n) ((a) * TASKS * ATTEMPTS + (t) * ATTEMPTS + (n))
#define AT(a, t) ((a) * TASKS + (t))

/* Outcomes at the gate. */
#define UNSEEN 0
#define NOT_STARTED 1
#define RUNNING 2
#define SUCCEEDED 3
#define FAILED 4

/* Answers of a job. */
#define NONE 0
#define COMPLETE 1
#define JOB_FAILED 2

/* Network. A start carries the life of the agent that it is meant for. */
bit startSent[CELLS];
bit startLife[CELLS];
bit querySent[CELLS];
bit queryLife[CELLS];
bit notStartedSent[CELLS];
bit succeededSent[CELLS];
bit failedSent[CELLS];
bit abandonSent[AGENTS + 1];
bit abandonedSent[AGENTS + 1];
bit refusedSent[AGENTS + 1]; /* Abandoned with `refused` */

/* Home. */
bool homeAlive = true;
byte state[TASKS + 1]; /* UNSEEN = waiting, RUNNING = started, SUCCEEDED */
byte attempt[TASKS + 1];
byte place[TASKS + 1];
byte startsLeft;
byte draft; /* answer not revealed yet */
bool draftNotRun;
byte homeAnswer; /* revealed */
bool revealedNotRun;
bool lifeKnown[AGENTS + 1]; /* home and recoverers know of the agent's second life */
bool drainKnown[AGENTS + 1];
byte placed; /* bit set of agents that were sent starts */

/* Agents. */
bit life[AGENTS + 1];
byte gate[AGENTS * TASKS + 1];
byte gateAttempt[AGENTS * TASKS + 1];
bool abandoned[AGENTS + 1];
bool fenced[AGENTS + 1];
bool told[AGENTS + 1]; /* a recoverer knows what this agent knew */
bool draining[AGENTS + 1];

/* Recoverers. */
bit recoverSent[RECOVERERS * AGENTS + 1];
bit recovered[RECOVERERS * AGENTS + 1];
byte recoveredGate[RECOVERERS * AGENTS * TASKS + 1];
byte recoveredAnswer[RECOVERERS + 1];
bool ended[RECOVERERS + 1]; /* the home has ended for certain */
bool memoryLost; /* an agent that had a task of the job has restarted */

/* Ghost counts at the backend servers. */
byte backendStarts[TASKS + 1];

inline sendState(a, t)
{
    if
    :: gate[AT(a, t)] == NOT_STARTED -> notStartedSent[CELL(a, t, gateAttempt[AT(a, t)])] = 1
    :: gate[AT(a, t)] == SUCCEEDED -> succeededSent[CELL(a, t, gateAttempt[AT(a, t)])] = 1
    :: gate[AT(a, t)] == FAILED -> failedSent[CELL(a, t, gateAttempt[AT(a, t)])] = 1
    :: else -> skip
    fi
}

inline finishJob(answer, isNotRun)
{
    draft = answer;
    draftNotRun = isNotRun;
    i = 0;
    do
    :: i < AGENTS ->
        if
        :: answer == JOB_FAILED && (placed >> i) & 1 -> abandonSent[i] = 1
        :: else -> skip
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

inline failJob()
{
#ifdef EARLY_NOT_RUN
    finishJob(JOB_FAILED, true)
#else
    finishJob(JOB_FAILED, startsLeft == 0)
#endif
}

active proctype Home()
{
    byte t;
    byte r;
    byte a;
    byte i;
    byte n;
    do
    :: atomic { !homeAlive -> break }

    /* EntryCore::start */
    :: atomic {
        homeAlive && draft == NONE -> select(t : 0 .. TASKS - 1); select(a : 0 .. AGENTS - 1);
        if
        :: state[t] == UNSEEN && attempt[t] < ATTEMPTS - 1 && !drainKnown[a] ->
            attempt[t]++;
            state[t] = RUNNING;
            place[t] = a;
            placed = placed | (1 << a);
            startsLeft++;
            startSent[CELL(a, t, attempt[t])] = 1;
            startLife[CELL(a, t, attempt[t])] = lifeKnown[a]
        :: else -> skip
        fi;
        t = 0; a = 0
    }

    /* EntryCore::onAnswer */
    :: atomic {
        homeAlive -> select(t : 0 .. TASKS - 1);
        a = place[t];
#ifdef NO_ATTEMPT
        select(n : 1 .. ATTEMPTS - 1);
#else
        n = attempt[t];
#endif
        if
        :: state[t] == RUNNING && succeededSent[CELL(a, t, n)] ->
            state[t] = SUCCEEDED;
            n = 0;
            i = 0;
            do
            :: i < TASKS -> n = n + (state[i] == SUCCEEDED -> 1 : 0); i++
            :: else -> break
            od;
            i = 0;
            if
#ifdef PARTIAL_ANSWER
            :: n >= 1 && draft == NONE -> finishJob(COMPLETE, false)
#else
            :: n == TASKS && draft == NONE -> finishJob(COMPLETE, false)
#endif
            :: else -> skip
            fi
        :: state[t] == RUNNING && failedSent[CELL(a, t, n)] && draft == NONE -> failJob()
        :: state[t] == RUNNING && notStartedSent[CELL(a, t, n)] ->
            state[t] = UNSEEN;
            startsLeft--
        :: else -> skip
        fi;
        t = 0; a = 0; n = 0
    }

    /* EntryCore::agentLinked asks again for outstanding starts */
    :: atomic {
        homeAlive -> select(t : 0 .. TASKS - 1);
        if
        :: state[t] == RUNNING ->
            querySent[CELL(place[t], t, attempt[t])] = 1;
            queryLife[CELL(place[t], t, attempt[t])] = lifeKnown[place[t]]
        :: else -> skip
        fi;
        t = 0
    }

    /* Deadline or cancellation */
    :: atomic { homeAlive && draft == NONE -> failJob() }

    /* The agent has restarted: failOutstandingStarts */
    :: atomic {
        homeAlive -> select(a : 0 .. AGENTS - 1);
        if
        :: life[a] == 1 && !lifeKnown[a] ->
            lifeKnown[a] = true;
            t = 0;
            n = 0;
            do
            :: t < TASKS ->
                if
                :: state[t] == RUNNING && place[t] == a -> n = 1
                :: else -> skip
                fi;
                t++
            :: else -> break
            od;
            if
#ifdef RESTART_UNKNOWN
            :: n == 1 && draft == NONE ->
                t = 0;
                do
                :: t < TASKS ->
                    if
                    :: state[t] == RUNNING && place[t] == a -> state[t] = UNSEEN
                    :: else -> skip
                    fi;
                    t++
                :: else -> break
                od
#else
            :: n == 1 && draft == NONE -> failJob()
#endif
            :: else -> skip
            fi
        :: else -> skip
        fi;
        t = 0; a = 0; n = 0
    }

    /* EntryCore::reveal: a failure is told once every agent with starts has confirmed it */
    :: atomic {
        homeAlive && draft != NONE && homeAnswer == NONE && !refusedSent[0] && !refusedSent[AGENTS - 1] ->
        n = 1;
        i = 0;
        do
        :: i < AGENTS ->
            if
#ifndef UNCONFIRMED_REVEAL
            :: draft == JOB_FAILED && (placed >> i) & 1 && !abandonedSent[i] -> n = 0
#endif
            :: else -> skip
            fi;
            i++
        :: else -> break
        od;
        if
        :: n == 1 ->
            homeAnswer = draft;
            r = 0;
            do
            :: r < RECOVERERS ->
                assert(!(homeAnswer == JOB_FAILED && recoveredAnswer[r] == COMPLETE) || memoryLost);
                assert(!(homeAnswer == COMPLETE && recoveredAnswer[r] == JOB_FAILED) || memoryLost);
                r++
            :: else -> break
            od;
            r = 0;
            revealedNotRun = draftNotRun;
            i = 0;
            do
            :: i < TASKS ->
                assert(homeAnswer != COMPLETE || state[i] == SUCCEEDED); /* never partial */
                assert(!revealedNotRun || backendStarts[i] == 0); /* not run means no start */
                i++
            :: else -> break
            od
        :: else -> skip
        fi;
        n = 0; i = 0
    }

    /* Withdraw arrives */
    :: atomic { homeAlive && draining[0] && !drainKnown[0] -> drainKnown[0] = true }

    /* kill -9; another incarnation answers at the address */
    :: atomic { homeAlive -> homeAlive = false }
    od
}

inline acceptStart(a, t, n)
{
    if
#ifndef NO_GATE
    :: n <= gateAttempt[AT(a, t)] || (gate[AT(a, t)] != UNSEEN && gate[AT(a, t)] != NOT_STARTED) -> sendState(a, t)
#endif
    :: else ->
        gateAttempt[AT(a, t)] = n;
        if
#ifdef NO_DRAIN_CHECK
        :: !fenced[a] && !abandoned[a] ->
#else
        :: !fenced[a] && !draining[a] && !abandoned[a] ->
#endif
            gate[AT(a, t)] = RUNNING;
            assert(!draining[a]); /* no start after a drain */
            assert(backendStarts[t] == 0); /* at most one start of a task */
            assert(!revealedNotRun); /* no start after "not run" */
            backendStarts[t]++
        :: gate[AT(a, t)] = NOT_STARTED; sendState(a, t) /* full, quarantined, draining, fenced */
        fi
    fi
}

active[AGENTS] proctype Agent()
{
    byte a = _pid - 1;
    byte t;
    byte n;
    byte r;
    do
    /* AgentCore::onStart */
    :: atomic {
        select(t : 0 .. TASKS - 1); select(n : 1 .. ATTEMPTS - 1);
        if
#ifdef NO_INCARNATION
        :: startSent[CELL(a, t, n)] -> acceptStart(a, t, n)
#else
        :: startSent[CELL(a, t, n)] && startLife[CELL(a, t, n)] == life[a] -> acceptStart(a, t, n)
#endif
        :: else -> skip
        fi;
        t = 0; n = 0
    }

    /* AgentCore::backendFinished */
    :: atomic {
        select(t : 0 .. TASKS - 1);
        if
        :: gate[AT(a, t)] == RUNNING -> gate[AT(a, t)] = SUCCEEDED; sendState(a, t)
        :: gate[AT(a, t)] == RUNNING -> gate[AT(a, t)] = FAILED; sendState(a, t)
        :: else -> skip
        fi;
        t = 0
    }

    /* AgentCore::onQuery */
    :: atomic {
        select(t : 0 .. TASKS - 1); select(n : 1 .. ATTEMPTS - 1);
        if
#ifdef NO_INCARNATION
        :: querySent[CELL(a, t, n)] ->
#else
        :: querySent[CELL(a, t, n)] && queryLife[CELL(a, t, n)] == life[a] ->
#endif
            if
            :: n > gateAttempt[AT(a, t)] && (gate[AT(a, t)] == UNSEEN || gate[AT(a, t)] == NOT_STARTED) ->
#ifdef NO_TOMBSTONE
                notStartedSent[CELL(a, t, n)] = 1
#else
                gate[AT(a, t)] = NOT_STARTED;
                gateAttempt[AT(a, t)] = n;
                sendState(a, t)
#endif
            :: else -> sendState(a, t)
            fi
        :: else -> skip
        fi;
        t = 0; n = 0
    }

    /* AgentCore::onAbandon */
    :: atomic {
        abandonSent[a] && !abandonedSent[a] ->
        if
#ifndef NO_REFUSAL
        :: told[a] -> refusedSent[a] = 1
#endif
        :: else ->
#ifndef NO_ABANDON
            abandoned[a] = true;
#endif
            abandonedSent[a] = 1
        fi
    }

    /* AgentCore::onRecover: replies when no task of the job is running */
    :: atomic {
        select(r : 0 .. RECOVERERS - 1);
        if
        :: recoverSent[r * AGENTS + a] && !recovered[r * AGENTS + a] ->
#ifndef NO_FENCE
            fenced[a] = fenced[a] || ended[r];
#endif
            n = 0;
            t = 0;
            do
            :: t < TASKS -> n = n + (gate[AT(a, t)] == RUNNING -> 1 : 0); t++
            :: else -> break
            od;
            t = 0;
            if
            :: n == 0 ->
                recovered[r * AGENTS + a] = 1;
                told[a] = true;
                do
                :: t < TASKS ->
                    recoveredGate[r * AGENTS * TASKS + AT(a, t)] = (abandoned[a] && gate[AT(a, t)] != UNSEEN -> FAILED : gate[AT(a, t)]);
                    t++
                :: else -> break
                od
            :: else -> skip
            fi
        :: else -> skip
        fi;
        t = 0; n = 0; r = 0
    }

    /* Drain by an operator */
    :: atomic { a == 0 && !draining[a] -> draining[a] = true }

    /* kill -9 and restart, once; only of agent 0 */
    :: atomic {
        a == 0 && life[a] == 0 ->
        life[a] = 1;
        t = 0;
        do
        :: t < TASKS ->
            memoryLost = memoryLost || gate[AT(a, t)] != UNSEEN;
            gate[AT(a, t)] = UNSEEN;
            gateAttempt[AT(a, t)] = 0;
            t++
        :: else -> break
        od;
        memoryLost = memoryLost || abandoned[a];
        abandoned[a] = false;
        told[a] = false;
        fenced[a] = false;
        draining[a] = false;
        t = 0
    }
    od
}

inline checkAgreement()
{
    /* One answer per job, unless an agent that had part of the job has lost its memory. */
    assert(!(homeAnswer == JOB_FAILED && recoveredAnswer[r] == COMPLETE) || memoryLost);
    assert(!(homeAnswer == COMPLETE && recoveredAnswer[r] == JOB_FAILED) || memoryLost);
    n = 0;
    do
    :: n < RECOVERERS ->
        assert(recoveredAnswer[n] == NONE || recoveredAnswer[n] == recoveredAnswer[r] || memoryLost);
        n++
    :: else -> break
    od;
    n = 0
}

active[RECOVERERS] proctype Recoverer()
{
    byte r = _pid - 1 - AGENTS;
    byte a;
    byte t;
    byte n;
    byte found;
    bool failed;

    /* EntryCore::recover: another incarnation answers at the home's address, or the home is only out of reach */
    atomic {
        ended[r] = !homeAlive;
        do
        :: a < AGENTS -> recoverSent[r * AGENTS + a] = 1; a++
        :: else -> break
        od;
        a = 0
    }
    /* EntryCore::concludeRecovery: "missing" is believed only of an ended home, once all agents have replied */
    do
    :: atomic {
        recoveredAnswer[r] == NONE ->
        do
        :: t < TASKS ->
            a = 0;
            n = 0;
            do
            :: a < AGENTS ->
                if
                :: recoveredGate[r * AGENTS * TASKS + AT(a, t)] == SUCCEEDED -> n = 1
                :: recoveredGate[r * AGENTS * TASKS + AT(a, t)] == FAILED -> failed = true
                :: else -> skip
                fi;
                a++
            :: else -> break
            od;
            found = found + n;
            t++
        :: else -> break
        od;
        if
        :: failed -> recoveredAnswer[r] = JOB_FAILED
        :: !failed && found == TASKS -> recoveredAnswer[r] = COMPLETE
#ifdef MISSING_WITHOUT_END
        :: !failed && found < TASKS && recovered[r * AGENTS] && recovered[r * AGENTS + AGENTS - 1] ->
#else
        :: !failed && found < TASKS && ended[r] && recovered[r * AGENTS] && recovered[r * AGENTS + AGENTS - 1] ->
#endif
            recoveredAnswer[r] = JOB_FAILED
        :: else -> skip
        fi;
        t = 0; a = 0; n = 0; found = 0; failed = false;
        if
        :: recoveredAnswer[r] != NONE -> checkAgreement()
        :: else -> skip
        fi
    }
    :: atomic { recoveredAnswer[r] != NONE -> break }
    od
}
