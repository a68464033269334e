/*
 * Configuration: racing edits by compare-and-swap with lost replies, entries that follow the store or their peers, an
 * outage of the store, entries that restart.
 *
 * Names match the code: ConfigEditor::swap, ConfigSynchronizer::pollOnce, ConfigHolder::replaceIfNewer, AgentCore::m_newestRevision.
 *
 * Each -D leaves one mechanism out; the verifier must then find a violation:
 *   BLIND_WRITE NO_EDIT_ID TAKE_ANY NO_AGENT_REVISION
 */
#define EDITORS 2
#define ENTRIES 2
#define REVISIONS 4 /* 0 to 3 */
#define SENDS 2 /* sends of one edit's transaction */

byte storeRevision; /* the current key */
byte maker[REVISIONS]; /* editor whose edit made a revision, 0 for none, n + 1 for editor n */
bool storeUp = true;
byte outages;

/* In flight: the transaction of an editor, bound to the revision that it expects; it may be applied at any time. */
byte sent[EDITORS];
byte expected[EDITORS];
bool replySent[EDITORS];
byte result[EDITORS]; /* 0 open, 1 made, 2 lost the race, 3 unknown */
byte made[EDITORS]; /* ghost: revisions that this editor's edit made */

/* Entries. */
byte held[ENTRIES];
bool ready[ENTRIES];
bool storeRead[ENTRIES];
byte restarts;

/* Newest revision that the agents have seen on a start; Hello tells it to an entry. */
byte agentRevision;
byte served[ENTRIES]; /* ghost: highest revision that starts were made under here */

active[EDITORS] proctype Editor()
{
    byte e = _pid;
    /* ConfigEditor::edit reads the current revision */
    atomic { storeUp -> expected[e] = storeRevision }
    do
    /* ConfigEditor::swap sends the transaction, again after a lost reply */
    :: atomic { sent[e] < SENDS && result[e] == 0 -> sent[e]++ }
    /* A reply arrives: made, or the key has changed and the history tells by whom */
    :: atomic {
        replySent[e] && result[e] == 0 && storeUp ->
        if
        :: storeRevision > expected[e] ->
            if
#ifdef NO_EDIT_ID
            :: made[e] == 0 || sent[e] > 1 -> result[e] = 2
            :: made[e] > 0 && sent[e] == 1 -> result[e] = 1
#else
            :: maker[expected[e] + 1] == e + 1 -> result[e] = 1
            :: else -> result[e] = 2
#endif
            fi;
            assert(result[e] != 1 || made[e] == 1);
            assert(result[e] != 2 || made[e] == 0)
        :: else -> skip
        fi
    }
    :: atomic { sent[e] == SENDS && result[e] == 0 -> result[e] = 3 }
    :: result[e] != 0 -> break
    od
}

active proctype PlatformStore()
{
    byte e;
    do
    :: atomic {
        storeUp -> select(e : 0 .. EDITORS - 1);
        if
#ifdef BLIND_WRITE
        :: sent[e] > 0 && storeRevision < REVISIONS - 1 ->
#else
        :: sent[e] > 0 && storeRevision == expected[e] && storeRevision < REVISIONS - 1 ->
#endif
            storeRevision++;
            maker[storeRevision] = e + 1;
            made[e]++;
            assert(made[e] <= 1); /* an edit takes effect at most once */
            replySent[e] = true
        :: sent[e] > 0 && storeRevision != expected[e] -> replySent[e] = true
        :: else -> skip
        fi;
        e = 0
    }
    :: atomic { storeUp && outages < 1 -> storeUp = false; outages++ }
    :: atomic { !storeUp -> storeUp = true }
    od
}

inline offer(n, revision)
{
#ifdef TAKE_ANY
    assert(revision >= held[n]); /* the revision in force never falls */
    held[n] = revision
#else
    if
    :: revision > held[n] -> held[n] = revision
    :: else -> skip
    fi
#endif
}

active[ENTRIES] proctype Entry()
{
    byte n = _pid - EDITORS - 1;
    byte seen;
    do
    /* ConfigSynchronizer::readStore; the value may be old by the time that it is taken */
    :: atomic { storeUp -> seen = storeRevision; storeRead[n] = true };
        atomic { offer(n, seen); seen = 0 }
    /* ConfigSynchronizer::readPeers */
    :: atomic { ready[1 - n] -> offer(n, held[1 - n]) }
    /* ConfigSynchronizer::isReady: the store or a peer was read, and no agent has seen a newer revision */
    :: atomic {
#ifdef NO_AGENT_REVISION
        !ready[n] && (storeRead[n] || ready[1 - n]) ->
#else
        !ready[n] && (storeRead[n] || ready[1 - n]) && held[n] >= agentRevision ->
#endif
        ready[n] = true;
        assert(held[n] >= served[n]) /* what was in force here once does not revert */
    }
    /* A start carries the revision; an agent keeps the newest that it has seen. */
    :: atomic {
        ready[n] ->
        served[n] = (held[n] > served[n] -> held[n] : served[n]);
        agentRevision = (held[n] > agentRevision -> held[n] : agentRevision)
    }
    /* kill -9 and restart */
    :: atomic {
        restarts < 1 ->
        restarts++;
        held[n] = 0;
        ready[n] = false;
        storeRead[n] = false
    }
    od
}
