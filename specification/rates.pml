/*
 * Shares of rate limits. One host lends its share to whichever of two
 * granters asks; both may take themselves for the one that grants. Rounds and
 * loans may be late, lost or overtake each other; the host may restart and
 * lose its memory. Promise: at no time do both granters hold the share, so
 * that the shares of all granters never add up to more than all. Bounds: END
 * ticks, a share lives LIFE of them, one restart. Seeded mistakes:
 * MISTAKE_LEND_TWICE (the share is lent again before it has lapsed),
 * MISTAKE_FORGET_AT_START (a host that restarts lends at once),
 * MISTAKE_COUNT_FROM_RECEIPT (a share's life counts from its arrival at the
 * granter, not from the round that asked for it).
 */
#define LIFE 2
#define END 5
#define NOBODY 2

byte now = 0;
byte heldUntil = 0;
byte holder = NOBODY;
/* The process before it may have lent until this host's first tick. */
byte startedAt = 0;
byte validUntil[2];

chan rounds = [2] of { byte, byte };   /* granter, when the round began */
chan loans = [2] of { byte, byte };

#define holds(g) (now < validUntil[g])
#define checkOne() assert(!(holds(0) && holds(1)))

#ifdef MISTAKE_LEND_TWICE
#define isFree(g) true
#else
#define isFree(g) (holder == g || now >= heldUntil)
#endif

#ifdef MISTAKE_FORGET_AT_START
#define isSettled true
#else
#define isSettled (now >= startedAt + LIFE)
#endif

#ifdef MISTAKE_COUNT_FROM_RECEIPT
#define lapse(begun) (now + LIFE)
#else
#define lapse(begun) (begun + LIFE)
#endif

active proctype clock() {
	do
	:: now < END -> atomic { now++; checkOne() }
	:: now == END -> break
	od
}

active [2] proctype granting() {
	byte self = _pid - 1;
	byte begun;
end:
	do
	:: now < END && nfull(rounds) -> rounds!self,now
	:: atomic { loans??eval(self),begun ->
		if
		:: lapse(begun) > validUntil[self] -> validUntil[self] = lapse(begun)
		:: else
		fi;
		checkOne() }
	od
}

active proctype lending() {
	byte granter, begun;
	bool hasRestarted = false;
end:
	do
	:: atomic { rounds?granter,begun ->
		if
		:: !isSettled || !isFree(granter) -> skip
		:: isSettled && isFree(granter) && full(loans) -> skip
		:: isSettled && isFree(granter) && nfull(loans) -> holder = granter; heldUntil = now + LIFE; loans!granter,begun
		fi }
	:: atomic { rounds?granter,begun /* lost */ }
	:: atomic { loans?granter,begun /* lost */ }
	:: atomic { !hasRestarted -> hasRestarted = true; holder = NOBODY; heldUntil = 0; startedAt = now }
	od
}
