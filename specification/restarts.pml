/*
 * The software version that began one stream, where hosts have no record of it
 * any more: one or all of them restart at any moment, while engines arrive,
 * leave, restart under the same id at another version, and displace what they
 * hold. After its start a host asks the engines what they hold of the stream:
 * a part or a run counts from the caller's number of events on. An attempt
 * before the stream began may have run at another version, with events that
 * reached nobody. Invariants: the stream goes on only at the version that began
 * it; it does go on where the engine that made its events was read, no other
 * version has as much of it, and all hosts reply.
 * Bounds: two hosts, two engines, two versions, four restarts of engines and
 * changes of entries (six with MISTAKE_TWICE). Assumptions: (1) an attempt whose
 * events reached nobody does not leave as much as the caller has, at an engine
 * of another version, when those that made the caller's events have lost them or
 * have left: nothing tells the two apart, so hosts repeat a request at the
 * version of its earlier attempts. (2) An entry does not change twice
 * during one question. (3) An engine takes work once its entry states its
 * version.
 * Seeded mistakes: MISTAKE_NO_PAST (hosts that agree are proof, though none has
 * a past), MISTAKE_FORGET (a version that has left is forgotten at once),
 * MISTAKE_PREFILLED (a part without generated tokens counts), MISTAKE_ANY_SIZE
 * (a part counts with fewer tokens than the caller has), MISTAKE_FIRST_WINS (of
 * engines that contradict each other, any counts), MISTAKE_PARTIAL (what some
 * engines hold counts before all have answered), MISTAKE_FAILED (a question
 * that failed is taken for an answer), MISTAKE_ENTRY_AFTER (an answer counts
 * for the entry that is read after it), MISTAKE_OLD_ENTRY (the host does not
 * notice that the entry has changed), MISTAKE_UNSEEN (without assumption 1),
 * MISTAKE_TWICE (without assumption 2), MISTAKE_REFUSE (nothing counts).
 */
#define none 2
#define bit(number) (1 << (number))
/* What an engine holds of the stream: nothing, the prompt, fewer tokens than the caller has, as many or more. */
#define nothing 0
#define prompt 1
#define less 2
#define enough 3
#if defined(MISTAKE_PREFILLED)
#define least 1
#elif defined(MISTAKE_ANY_SIZE)
#define least 2
#else
#define least 3
#endif
/* What does not count is the same as nothing, except where a mistake counts it. */
#if least < 3
#define tooLittle less
#else
#define tooLittle nothing
#endif

/* Engines */
byte entry[2] = none;  /* version in the directory */
byte process[2] = 0;   /* version that runs */
byte held[2] = nothing;

/* Hosts; at first they have no memory of anything */
bool hasPast[2];       /* it has seen all changes since the stream began */
byte seen[2];          /* versions that it has seen since its start, as bits */
byte traces[2];        /* versions at which an engine held enough */
byte answered[2];      /* engines that answered it since its start */
bool hasProof[2];      /* it has read the engine that made the caller's events */

/* The stream */
byte began = none;
byte keeper = none;    /* host that certainly has the record; the other one may have it */

/* The open question: host, engine, its entry before, what it held */
byte asking = none;
byte asked;
byte entryBefore;
bool isRead;
bool hasEnough;
bool hasReadEvents;
bool hasChanged;

#ifdef MISTAKE_TWICE
#define most 6
#else
#define most 4
#endif
byte left = most;      /* restarts of engines and changes of entries */

byte host;
byte engine;

#define isListed(version) (entry[0] == (version) || entry[1] == (version))
#define listed ((isListed(0) -> bit(0) : 0) | (isListed(1) -> bit(1) : 0))
#define isRival(number) (held[number] == enough && process[number] != began)
/* Another version has as much of the stream as its caller */
#define isContested (began != none && (isRival(0) || isRival(1) || ((traces[0] | traces[1]) & bit(1 - began)) != 0 || (hasEnough && entryBefore != began)))
/* Without unseen attempts, what these mistakes lead to is theirs alone. */
#if defined(MISTAKE_TWICE) || defined(MISTAKE_OLD_ENTRY)
#define hasUnseen false
#else
#define hasUnseen true
#endif
#if defined(MISTAKE_UNSEEN) || defined(MISTAKE_TWICE) || defined(MISTAKE_OLD_ENTRY)
#define mayLose(number) true
#else
#define mayLose(number) !(isContested && held[number] == enough && process[number] == began)
#endif
#define isAsked(number) (asking != none && asked == (number))
#ifdef MISTAKE_TWICE
#define mayChange(number) true
#else
#define mayChange(number) !(isAsked(number) && hasChanged)
#endif
#define isAnswered(number) (((entry[0] == none) || (answered[number] & bit(0)) != 0) && ((entry[1] == none) || (answered[number] & bit(1)) != 0))
/* An engine of this version cannot contradict it. */
#define isRivalHeard(number, version) ((entry[0] == none || entry[0] == (version) || (answered[number] & bit(0)) != 0) && (entry[1] == none || entry[1] == (version) || (answered[number] & bit(1)) != 0))
#define isUncontested(version) (found == bit(version) && isRivalHeard(0, version) && isRivalHeard(1, version))

inline pick() {
	select(host : 0 .. 1);
	select(engine : 0 .. 1)
}

inline drop() {
	host = 0;
	engine = 0
}

inline count(version) {
	traces[asking] = traces[asking] | (hasEnough -> bit(version) : 0);
	answered[asking] = answered[asking] | bit(asked);
	hasProof[asking] = hasProof[asking] || (hasReadEvents && entry[asked] == entryBefore && entryBefore == began)
}

inline list(version) {
	entry[engine] = version;
	seen[0] = seen[0] | (hasPast[0] -> bit(version) : 0);
	seen[1] = seen[1] | (hasPast[1] -> bit(version) : 0)
}

/* Who has no past has nothing to remember. */
inline look(reader) {
#ifdef MISTAKE_FORGET
	seen[reader] = (hasPast[reader] -> listed : 0)
#else
	seen[reader] = (hasPast[reader] -> seen[reader] | listed : 0)
#endif
}

inline forget(number) {
	hasPast[number] = false;
	seen[number] = 0;
	traces[number] = 0;
	answered[number] = 0;
	hasProof[number] = false;
	keeper = (keeper == number -> none : keeper);
	if
	:: asking == number -> endQuestion()
	:: else
	fi
}

inline endQuestion() {
	asking = none;
	asked = 0;
	entryBefore = 0;
	isRead = false;
	hasEnough = false;
	hasReadEvents = false;
	hasChanged = false
}

/* The caller gets events from an engine; what others hold, and what hosts have read, may have become too little. */
inline deliver() {
	held[engine] = enough;
	if
	:: held[1 - engine] == enough -> held[1 - engine] = tooLittle
	:: true
	fi;
	outgrow(0);
	outgrow(1);
	keeper = host
}

inline outgrow(number) {
	hasProof[number] = false;
	if
	:: traces[number] = traces[number] & ~bit(began)
	:: traces[number] = 0
	:: true
	fi
}

byte known;
byte views;
byte found;
bool isReplied;
bool isConfirmed;
bool mayVouch;

inline resume() {
	known = none;
	isConfirmed = false;
	isReplied = false;
	views = 0;
	if
	:: look(host); isConfirmed = true; views = listed
	:: true
	fi;
	views = views | seen[host];
	found = traces[host];
	mayVouch = hasPast[host];
	if
	:: isReplied = true;
		views = views | seen[1 - host];
		found = found | traces[1 - host];
		mayVouch = mayVouch || hasPast[1 - host]
	:: true
	fi;
#ifdef MISTAKE_NO_PAST
	mayVouch = mayVouch || isReplied;
#endif
#ifndef MISTAKE_PARTIAL
	if
	:: isReplied && (isUncontested(0) || isUncontested(1) || found == (bit(0) | bit(1)))
	:: else -> found = 0
	fi;
#endif
	if
	/* A record is exact. */
	:: known = began
#ifndef MISTAKE_REFUSE
	:: !(keeper == host || (isReplied && keeper != none)) ->
		if
		:: mayVouch && isConfirmed && views == bit(0) -> known = 0
		:: mayVouch && isConfirmed && views == bit(1) -> known = 1
		:: else ->
			if
			:: found == bit(0) -> known = 0
			:: found == bit(1) -> known = 1
#ifdef MISTAKE_FIRST_WINS
			:: found == (bit(0) | bit(1)) -> known = 0
			:: found == (bit(0) | bit(1)) -> known = 1
#endif
			:: else
			fi
		fi
#else
	:: true
#endif
	fi;
	assert(known == none || known == began);
	assert(known != none || isContested || !(hasProof[0] || hasProof[1]) || !isReplied || !isAnswered(0) || !isAnswered(1));
	/* An engine of that version takes it, if there is one */
	if
	:: known != none && entry[0] == known && process[0] == known -> deliver()
	:: known != none && entry[1] == known && process[1] == known -> engine = 1; deliver()
	:: else
	fi;
	known = none;
	views = 0;
	found = 0;
	isReplied = false;
	isConfirmed = false;
	mayVouch = false
}

active proctype all() {
	do
	/* An engine takes a new process; only then is its entry written again, or it leaves. */
	:: atomic {select(engine : 0 .. 1); if
		:: left > 0 && mayLose(engine) ->
			left--;
			process[engine] = 1 - process[engine];
			held[engine] = nothing
		:: else
		fi; drop()}
	:: atomic {select(engine : 0 .. 1); if
		:: left > 0 && entry[engine] != process[engine] && mayChange(engine) -> left--; list(process[engine]); hasChanged = hasChanged || isAsked(engine)
		:: left > 0 && entry[engine] != none && mayLose(engine) && mayChange(engine) -> left--; entry[engine] = none; hasChanged = hasChanged || isAsked(engine)
		:: mayLose(engine) -> held[engine] = nothing
		/* The prompt is prefilled; an earlier turn or attempt leaves fewer tokens. */
#if least < 3
		:: held[engine] < less && entry[engine] == process[engine] -> held[engine] = prompt
		:: held[engine] < less && entry[engine] == process[engine] -> held[engine] = less
#endif
		/* An attempt runs whose events reach nobody. */
		:: hasUnseen && began == none && entry[engine] == process[engine] -> held[engine] = enough
		:: else
		fi; drop()}
	/* The stream begins, which engine and version have which number being the same; hosts that have read the directory by then have a past. */
	:: atomic {pick(); if
		:: began == none && engine == 0 && process[0] == 0 && entry[0] == 0 ->
			hasPast[0] = true;
			hasPast[1] = true;
			look(0);
			look(1);
			began = 0;
			deliver()
		:: else
		fi; drop()}
#ifdef MISTAKE_FORGET
	:: atomic {select(host : 0 .. 1); look(host); drop()}
#endif
	/* One host restarts, or all at once. */
	:: atomic {select(host : 0 .. 1); forget(host); drop()}
	:: atomic {forget(0); forget(1)}
	/* A host asks an engine that it has not heard from since its start. */
	:: atomic {pick(); if
		:: asking == none && entry[engine] != none && (answered[host] & bit(engine)) == 0 ->
			asking = host;
			asked = engine;
			entryBefore = entry[engine]
		:: else
		fi; drop()}
	:: atomic {asking != none && !isRead ->
		isRead = true;
		hasEnough = held[asked] >= least;
		hasReadEvents = began != none && held[asked] == enough && process[asked] == began}
	:: atomic {asking != none && isRead ->
		if
#if defined(MISTAKE_ENTRY_AFTER)
		:: entry[asked] != none -> count(entry[asked])
#elif defined(MISTAKE_OLD_ENTRY)
		:: true -> count(entryBefore)
#else
		:: entry[asked] == entryBefore -> count(entryBefore)
#endif
		:: else
		fi;
		endQuestion()}
	/* The question fails. */
	:: atomic {asking != none ->
#ifdef MISTAKE_FAILED
		answered[asking] = answered[asking] | bit(asked);
#endif
		endQuestion()}
	:: atomic {began != none -> select(host : 0 .. 1); resume(); drop()}
	od
}
