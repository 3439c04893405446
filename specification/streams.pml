/*
 * The software version that began one stream, and who knows it. Host 0 serves
 * the stream and sends its record to the others before the caller has the first
 * event; messages may be lost, hosts may lose their memory, and the directory
 * may list a second version and drop the first. Then the caller resumes the
 * stream at any host, which asks the others; each may be silent. Invariant: the
 * stream goes on only at the version that began it. Without a record, a host
 * that has seen all changes and replies vouches for the only version seen, once
 * the asker has read the directory; hosts without a past vouch for nothing, and
 * all may lose their memory at any moment. What engines hold: restarts.pml.
 * Seeded mistakes: MISTAKE_GUESS (an unknown version is any), MISTAKE_SILENCE
 * (a silent host counts as one that knows nothing), MISTAKE_NO_PAST (hosts that
 * agree vouch for what was before their start), MISTAKE_OLD_WITNESS (one that
 * has a past replies as it last read the directory), MISTAKE_SKIP (a list of
 * what is there stands for all changes), MISTAKE_OLD_VIEW (a
 * host vouches alone without reading the directory), MISTAKE_FORGET (a version that
 * has left is forgotten at once), MISTAKE_EARLY_RECORD (the record is made when
 * the request is sent, and stands though another endpoint answers it).
 */
#define hosts 3
#define none 2
#define bit(version) (1 << (version))

byte listed = 1;            /* versions in the directory, as bits */
byte changes = 1;           /* versions that were ever in it */
byte seen[hosts] = 1;       /* versions that a host has seen since its start */
bool hasMemory[hosts] = true; /* it has seen all changes since the stream began */
byte record[hosts] = none;  /* the version that it holds for the stream, or none */
byte began = none;          /* version of the events that the caller has */
byte wentOn = none;
bool isServed = false;

/* The operators release version 1 and take version 0 away. */
active proctype operators() {
	atomic {listed = listed | bit(1); changes = listed};
	atomic {
		if
		:: listed = listed & ~bit(0)
		:: listed = listed & ~bit(1)
		:: skip
		fi
	}
}

/* A host sees what the directory lists; it forgets nothing that it has seen. */
inline look(host) {
#ifdef MISTAKE_FORGET
	seen[host] = listed
#elif defined(MISTAKE_SKIP)
	seen[host] = seen[host] | listed
#else
	seen[host] = seen[host] | (hasMemory[host] -> changes : listed)
#endif
}

inline forget(host) {
	record[host] = none;
	seen[host] = listed;
	hasMemory[host] = false
}

/* Hosts restart with what the directory lists then, and with no records. */
active proctype restarts() {
	byte host;
	do
	:: atomic {select(host : 0 .. hosts - 1);
		forget(host)}
	:: atomic {select(host : 0 .. hosts - 1); look(host)}
	:: break
	od
}

inline tell(version) {
	record[0] = version;
	if
	:: record[1] = version
	:: skip
	fi;
	if
	:: record[2] = version
	:: skip
	fi
}

/* The first endpoint that is asked may refuse; one of another version may answer. */
active proctype serve() {
	byte version = 0;
	atomic {
		look(0);
		if
		:: (seen[0] & listed & bit(1)) != 0 -> version = 1
		:: (seen[0] & listed & bit(0)) != 0 -> version = 0
		fi;
#ifdef MISTAKE_EARLY_RECORD
		tell(version)
#endif
	};
	atomic {
		if
		:: (listed & bit(1 - version)) != 0 -> version = 1 - version
		:: skip
		fi;
		if
		:: (listed & bit(version)) == 0 -> version = 1 - version
		:: else
		fi;
#ifndef MISTAKE_EARLY_RECORD
		tell(version);
#endif
		began = version
	};
	isServed = true
}

/* A host with a past has read the directory up to the question. */
inline vouch(other) {
#ifndef MISTAKE_OLD_WITNESS
	if
	:: hasMemory[other] -> look(other)
	:: else
	fi
#else
	skip
#endif
}

inline ask(other) {
	if
	:: other != asker ->
		if
		:: vouch(other); found = (record[other] != none -> record[other] : found); all = all | seen[other]; isWitnessed = isWitnessed || hasMemory[other]
		:: isUnanimous = false
		fi
	:: else
	fi
}

active proctype resume() {
	byte asker;
	byte found;
	byte all;
	bool isUnanimous = true;
	bool isWitnessed = false;
	bool isConfirmed = false;
	bool mayVouch;
	isServed;
	atomic {
		select(asker : 0 .. hosts - 1);
		found = record[asker];
		if
		:: look(asker); isConfirmed = true
		/* the directory does not answer */
		:: true -> skip
		fi;
#ifdef MISTAKE_OLD_VIEW
		isConfirmed = true;
#endif
		all = seen[asker];
		ask(0);
		ask(1);
		ask(2);
		mayVouch = isConfirmed && (isWitnessed || hasMemory[asker]);
#ifdef MISTAKE_NO_PAST
		mayVouch = isUnanimous;
#endif
#ifdef MISTAKE_SILENCE
		mayVouch = isConfirmed;
#endif
		if
		:: found != none -> wentOn = found
		:: found == none && mayVouch && all == bit(0) -> wentOn = 0
		:: found == none && mayVouch && all == bit(1) -> wentOn = 1
#ifdef MISTAKE_GUESS
		:: found == none -> wentOn = 1
#endif
		:: else -> skip
		fi;
		assert(wentOn == none || wentOn == began)
	}
}
