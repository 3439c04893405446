/*
 * What one relay believes of one endpoint, while the directory answers, is
 * away, or is only thought to be away. Time goes in ticks of half a second;
 * an outage or a departure may begin at any tick. Invariants: an endpoint
 * that left while the directory was calm gets no new work after the bound on
 * leaving endpoints; one that never left is not given up, though its entry
 * lapsed in an outage; news older than an entry's end does not bring it back.
 * Seeded mistakes: MISTAKE_CUT_IS_OUTAGE (one failed read counts as an
 * outage), MISTAKE_LATE_GRACE (the grace runs from the entry's end, not from
 * the return), MISTAKE_LONG_MASS (what vanishes together is kept as long as
 * after an outage), MISTAKE_NO_GRACE (a missing entry is gone at once),
 * MISTAKE_OLD_NEWS (a peer's old news is believed).
 */
#define drain 4       /* 2 s: bound on new work for leaving endpoints */
#define contact 6     /* 3 s: calm time from which on the bound holds */
#define grace 5       /* 2.2 s behind a return, and a sweep */
#define mass 3        /* 1.5 s for entries that vanish together */
#define lapse 5       /* 2.4 s: shortest outage in which an entry lapses */
#define returning 4   /* 2 s: entries of living endpoints are back behind a return */
#define noticed 3     /* 1.3 s: longest pause between reads while the directory is away */
#define most 20       /* ticks played */

#ifdef MISTAKE_CUT_IS_OUTAGE
#define unavailableAfterFailures 1
#else
#define unavailableAfterFailures 2
#endif

/* The directory and the endpoint. */
bool isUp = true;
byte calm = contact;
byte downFor = 0;
bool hasEntry = true;
bool hasLeft = false;
bool isCounted = false;
byte leftFor = 0;
byte lapsedFor = 0;

/* The relay. */
bool isReady = true;
bool isAway = false;
byte failures = 0;
bool isKept = false;
byte keptFor = 0;
byte backFor = grace;
bool knowsEnd = false;
bool wasCut = false;

/* One tick of the directory and the endpoint. */
inline turnWorld() {
	if
	:: isUp && calm == contact && !hasLeft -> isUp = false; calm = 0; downFor = 0
	:: !isUp && downFor >= 1 -> isUp = true; lapsedFor = 0
	:: isUp && !hasLeft && hasEntry ->
		hasLeft = true; hasEntry = false; leftFor = 0;
		isCounted = (calm == contact)
	:: true
	fi;
	if
	:: isUp ->
		if
		:: calm < contact -> calm++
		:: else
		fi;
		if
		:: !hasEntry && !hasLeft ->
			lapsedFor++;
			if
			:: hasEntry = true
			:: lapsedFor < returning
			fi
		:: else
		fi
	:: !isUp ->
		if
		:: downFor < lapse -> downFor++
		:: downFor >= lapse -> hasEntry = false
		:: downFor >= lapse
		fi
	fi;
	if
	:: hasLeft && leftFor <= drain -> leftFor++
	:: else
	fi
}

/* The entry is missing: it is kept for a while, or gone. */
inline miss() {
	if
	:: !isReady || isKept
#ifdef MISTAKE_NO_GRACE
	:: isReady && !isKept && backFor < grace -> isReady = false; knowsEnd = true
#else
	:: isReady && !isKept && backFor < grace ->
		isKept = true;
#ifdef MISTAKE_LATE_GRACE
		keptFor = grace
#else
		keptFor = grace - backFor
#endif
#endif
	:: isReady && !isKept && backFor >= grace ->
		/* others may vanish in the same moment, which looks like an outage that nobody noticed */
		if
		:: true ->
			isKept = true;
#ifdef MISTAKE_LONG_MASS
			keptFor = grace
#else
			keptFor = mass
#endif
		:: true -> isReady = false; knowsEnd = true
		fi
	fi
}

inline readWell() {
	wasCut = false;
	failures = 0;
	if
	:: isAway ->
		isAway = false; backFor = 0;
		if
		:: isKept -> keptFor = grace
		:: else
		fi
	:: else
	fi;
	if
	:: hasEntry -> isReady = true; isKept = false; knowsEnd = false
	:: !hasEntry -> miss()
	fi
}

inline readBadly() {
	if
	:: failures < unavailableAfterFailures -> failures++
	:: else
	fi;
	if
	:: failures >= unavailableAfterFailures -> isAway = true
	:: else
	fi
}

/* One tick of the relay. */
inline turnRelay() {
	if
	:: isKept && !isAway && keptFor > 0 -> keptFor--
	:: else
	fi;
	if
	:: isKept && !isAway && keptFor == 0 -> isKept = false; isReady = false; knowsEnd = true
	:: else
	fi;
	if
	:: backFor < grace && !isAway -> backFor++
	:: else
	fi;
	if
	:: isUp && !(isAway && calm < noticed) -> readWell()
	:: isUp && isAway && calm < noticed -> skip
	:: isUp && !wasCut && calm == contact -> wasCut = true; readBadly()
	:: !isUp -> readBadly()
	fi;
	/* a peer's message that was long on its way says that the entry is there */
	if
#ifdef MISTAKE_OLD_NEWS
	:: knowsEnd -> isReady = true
#endif
	:: true
	fi
}

active proctype Play() {
	byte tick = 0;
	do
	:: tick < most ->
		d_step { tick++ };
		turnWorld();
		turnRelay();
		assert(!(hasLeft && isCounted && leftFor > drain && isReady));
		assert(hasLeft || isReady)
	:: tick == most -> break
	od
}
