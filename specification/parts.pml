/*
 * Parts of prompts that crash endpoints. Two hosts send requests with the
 * parts GOOD and BAD, or with GOOD alone; reports between them are lost,
 * late and repeated. Each host keeps the set of crashes that accuse a part
 * and the set of refuted ones. Promises: however few reports arrive, BAD ends
 * at most 3 endpoints at the host that runs trials, and at the other one the
 * one that it had not seen crash yet; BAD is never cleared; GOOD is held only
 * for three distinct crashes that no surviving run refutes, and what is once
 * refuted stays so. Bounds: CRASHES ends of endpoints, ACCIDENTS of them by
 * themselves, one request with BAD in flight at each host.
 */
#define HOSTS 2
#define CRASHES 5
#define ACCIDENTS 1
#define GOOD 0
#define BAD 1
#define LIMIT 3

#define at(h, p) ((h) * 2 + (p))
#define bits(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1) + (((s) >> 4) & 1) + (((s) >> 5) & 1))
#define standing(h, p) bits(ends[at(h, p)] & ~refuted[at(h, p)])
#ifdef MISTAKE_COUNT_REPORTS
#define weight(h, p) (standing(h, p) + repeats[at(h, p)])
#else
#define weight(h, p) standing(h, p)
#endif
#define isHeld(h, p) (weight(h, p) >= LIMIT)

/* A suspect runs at one host only, one request at a time. */
#ifdef MISTAKE_TRIALS_EVERYWHERE
#define mayTry(h) true
#else
#define mayTry(h) ((h) == 0)
#endif
#define mayStart(h) (!isHeld(h, GOOD) && !isHeld(h, BAD) && ((weight(h, GOOD) == 0 && weight(h, BAD) == 0) || mayTry(h)))

byte ends[4];
byte refuted[4];
byte everRefuted[4];
#ifdef MISTAKE_COUNT_REPORTS
byte repeats[4];
#endif
byte accidents = 0;
byte crashes = 0;      /* all ends of endpoints */
byte badCrashes = 0;
bool running[HOSTS];   /* a request with BAD is in flight */
bool isTrusted[HOSTS]; /* a run with GOOD has survived there lately */

/* An endpoint ends under a request of a host that had just begun. */
inline accuse(h, isBadRun) {
	if
	:: isTrusted[h]
#ifdef MISTAKE_FORGET_SURVIVORS
		-> ends[at(h, GOOD)] = ends[at(h, GOOD)] | (1 << crashes); refuted[at(h, GOOD)] = 0
		/* A crash after a run that survived undoes what that run refuted */
#endif
	:: else -> ends[at(h, GOOD)] = ends[at(h, GOOD)] | (1 << crashes)
	fi;
	if
	:: isBadRun -> ends[at(h, BAD)] = ends[at(h, BAD)] | (1 << crashes); badCrashes++
	:: else
	fi;
	crashes++
}

inline clear(h, p) {
	refuted[at(h, p)] = refuted[at(h, p)] | ends[at(h, p)];
	everRefuted[at(h, p)] = everRefuted[at(h, p)] | refuted[at(h, p)]
}

inline report(from, to, p) {
	ends[at(to, p)] = ends[at(to, p)] | ends[at(from, p)];
#ifndef MISTAKE_DROP_REFUTED
	refuted[at(to, p)] = refuted[at(to, p)] | refuted[at(from, p)];
#else
	refuted[at(to, p)] = refuted[at(from, p)];
#endif
#ifdef MISTAKE_COUNT_REPORTS
	if
	:: repeats[at(to, p)] < LIMIT && ends[at(from, p)] != 0 -> repeats[at(to, p)]++
	:: else
	fi;
#endif
	everRefuted[at(to, p)] = everRefuted[at(to, p)] | refuted[at(to, p)]
}

proctype host(byte h) {
	do
	:: atomic { !running[h] && mayStart(h) -> running[h] = true }
	:: atomic { running[h] && crashes < CRASHES -> running[h] = false;
#ifdef MISTAKE_CLEAR_AT_HEAD
		/* The head of the response counts as a run that survived */
		clear(h, GOOD); clear(h, BAD);
#endif
		accuse(h, true);
#ifdef MISTAKE_CLEAR_AT_HEAD
		clear(h, BAD)
#endif
	}
	/* An endpoint ends by itself under a sound request */
	:: atomic { crashes < CRASHES && accidents < ACCIDENTS && !isHeld(h, GOOD) -> accidents++; accuse(h, false) }
	/* A sound request survives its beginning */
	:: atomic { !isHeld(h, GOOD) && !isTrusted[h] -> isTrusted[h] = true; clear(h, GOOD) }
	/* The trust has expired */
	:: atomic { isTrusted[h] -> isTrusted[h] = false }
	:: atomic { report(h, 1 - h, GOOD) }
	:: atomic { report(h, 1 - h, BAD) }
	:: crashes == CRASHES -> break
	od
}

#define isFair(h) (!isHeld(h, GOOD) || standing(h, GOOD) >= LIMIT)

active proctype watch() {
	do
	:: atomic { badCrashes > LIMIT + HOSTS - 1 -> assert(false) }
	:: atomic { refuted[at(0, BAD)] != 0 || refuted[at(1, BAD)] != 0 -> assert(false) }
	:: atomic { !isFair(0) || !isFair(1) -> assert(false) }
	:: atomic { (everRefuted[0] & ~refuted[0]) != 0 || (everRefuted[2] & ~refuted[2]) != 0 -> assert(false) }
	:: crashes == CRASHES -> break
	od
}

init {
	atomic { run host(0); run host(1) }
}
