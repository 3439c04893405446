/*
 * Bundles and orders. The operators publish versions 1 to NEWEST; the service
 * may serve any published one. Two hosts adopt, both may think to be the
 * keeper, and each may sleep between its last look and its write.
 * Promises: no host ever goes back; an engine that checks never goes back;
 * one that does not check is repaired: when nothing moves any more, both
 * serve the newest version. Bounds: NEWEST versions, two hosts, two engines.
 */
#define NEWEST 3
#define HOSTS 2

/* What the next report shows; without the read-back each version is ordered once. */
#ifdef MISTAKE_NO_READ_BACK
#define isMissing(host) (ordered[host] < inForce[host] && open < inForce[host])
#else
#define isMissing(host) (checking != inForce[host] || open != inForce[host])
#endif

byte published = 1;
byte inForce[HOSTS];
byte checking = 0;           /* version that the checking engine serves */
byte open = 0;               /* version that the engine without a check serves */
byte ordered[HOSTS];          /* last version that each host ordered */
bool thinksItKeeps[HOSTS];   /* both, one or the other; in the end host 0 alone */
byte writing[HOSTS];         /* version of an order on its way, 0: none */

active proctype operators() {
	do
	:: published < NEWEST -> published++
	:: published == NEWEST -> break
	od
}

/* Keepership as the hosts see it: a split, then one keeper. */
active proctype membership() {
	thinksItKeeps[0] = true;
	thinksItKeeps[1] = true;
	thinksItKeeps[1] = false
}

inline adopt(host, version) {
	if
#ifdef MISTAKE_ADOPT_OLDER
	:: version != inForce[host] ->
#else
	:: version > inForce[host] ->
#endif
		assert(version >= inForce[host]);
		inForce[host] = version
	:: else
	fi
}

proctype host(byte self) {
	byte seen;
end:	do
	:: atomic { published >= 1 && inForce[self] < published -> /* the service, stale or not */
		select(seen : 1 .. NEWEST);
		if
		:: seen <= published -> adopt(self, seen)
		:: else
		fi }
#ifdef MISTAKE_ADOPT_OLDER
	:: atomic { inForce[self] > 1 -> adopt(self, 1) }
#endif
	:: atomic { inForce[1 - self] > inForce[self] -> adopt(self, inForce[1 - self]) } /* a neighbour */
	/* The last look before the write; then the host may sleep for long. */
	:: atomic { thinksItKeeps[self] && writing[self] == 0 && inForce[self] > 0 && isMissing(self) -> writing[self] = inForce[self] }
	:: atomic { writing[self] != 0 ->
		if
#ifdef MISTAKE_NO_FENCE
		:: true ->
#else
		:: writing[self] >= checking ->
#endif
			assert(writing[self] >= checking);
			checking = writing[self]
#ifndef MISTAKE_NO_FENCE
		:: writing[self] < checking /* refused */
#endif
		fi;
		open = writing[self];
		ordered[self] = writing[self];
		writing[self] = 0 }
	od
}

init {
	atomic { run host(0); run host(1) };
	timeout;
	assert(published == NEWEST);
	assert(inForce[0] == NEWEST && inForce[1] == NEWEST);
	assert(checking == NEWEST && open == NEWEST)
}
