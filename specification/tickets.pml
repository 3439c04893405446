/*
 * Tickets, retries, refusals. One request that may not be repeated, its
 * ticket bound to incarnation 0 of its owner. Tries arrive late, twice or
 * never, at the owner or over a peer; the owner may be replaced at any
 * moment; any two steps may lie far apart, which is what a late wake-up is.
 * Promises: it runs at most once; "not run" is true for ever; no answer but
 * its own outcome. Bounds: TRIES tries, two replacements, one duplicate.
 */
#define TRIES 3

#ifdef MISTAKE_FORGET_EARLY
#define mayForget true
#else
#define mayForget lapsed
#endif

mtype = { NONE, RUNNING, ENDED_NO, ENDED_DONE, ENDED_UNKNOWN };
mtype = { NO, DONE, UNKNOWN };

byte runs = 0;
bool toldNo = false;
bool toldDone = false;
byte incarnation = 0;
mtype ledger = NONE;
bool hasLeft = false;
bool lapsed = false;

chan toOwner = [TRIES + 1] of { bit };
chan toPeer = [TRIES] of { bit };
chan orders = [2] of { bit };
chan results = [2] of { bit };
chan replies = [TRIES + 2] of { mtype };

inline reply(what) {
	if
	:: nfull(replies) -> replies!what
	:: true /* lost */
	fi
}

active proctype caller() {
	byte tries = 0;
	mtype told;
end:	do
	:: tries < TRIES -> tries++;
		if
		:: toOwner!1
		:: toPeer!1
		:: true /* lost */
		fi
	:: replies?told ->
		if
		:: told == NO -> toldNo = true; assert(runs == 0)
		:: told == DONE -> toldDone = true; assert(runs == 1)
		:: else
		fi;
		break
	od
}

/* Another host: forwards, late, twice or never. */
active proctype peer() {
	bool hasDoubled = false;
end:	do
	:: toPeer?_ ->
		if
		:: toOwner!1
		:: !hasDoubled -> hasDoubled = true; toOwner!1; toOwner!1
		:: reply(UNKNOWN) /* lost: the caller is told "unknown" */
		fi
	od
}

active proctype owner() {
end:	do
	:: atomic { toOwner?_ ->
		if
#ifndef MISTAKE_HANDOVER
		:: incarnation != 0 -> reply(UNKNOWN)
#endif
#ifdef MISTAKE_HANDOVER
		:: true ->
#else
		:: incarnation == 0 ->
#endif
			if
			:: ledger == NONE && lapsed -> reply(UNKNOWN)
			:: ledger == NONE && !lapsed -> ledger = RUNNING; hasLeft = false
			:: ledger == ENDED_NO -> reply(NO)
			:: ledger == ENDED_DONE -> reply(DONE)
			:: ledger == ENDED_UNKNOWN -> reply(UNKNOWN)
			:: ledger == RUNNING
#ifdef MISTAKE_NO_LEDGER
				-> if :: nfull(orders) -> orders!1 :: full(orders) fi
#endif
			fi
		fi }
	:: atomic { ledger == RUNNING && !hasLeft ->
		if
		:: true -> /* no connection: nothing left */
#ifdef MISTAKE_WITHDRAW
			ledger = NONE;
#else
			ledger = ENDED_NO;
#endif
			reply(NO)
		:: nfull(orders) -> hasLeft = true; orders!1
		fi }
	:: atomic { ledger == RUNNING && hasLeft && nempty(results) -> results?_; ledger = ENDED_DONE; reply(DONE) }
	:: atomic { ledger == RUNNING && hasLeft -> /* the answer is late or lost */
#ifdef MISTAKE_RETRY_AFTER_LEFT
		hasLeft = false
#else
#ifdef MISTAKE_NO_AFTER_LEFT
		ledger = ENDED_NO; reply(NO)
#else
		ledger = ENDED_UNKNOWN; reply(UNKNOWN)
#endif
#endif
		}
	:: atomic { !lapsed -> lapsed = true }
	:: atomic { mayForget && (ledger == ENDED_NO || ledger == ENDED_DONE || ledger == ENDED_UNKNOWN) -> ledger = NONE }
	:: atomic { incarnation < 2 -> incarnation++; ledger = NONE; hasLeft = false }
	od
}

active proctype endpoint() {
end:	do
	:: atomic { orders?_ ->
		if
		:: runs++; assert(runs <= 1); assert(!toldNo);
			if
			:: nfull(results) -> results!1
			:: true /* lost */
			fi
		:: true /* lost */
		fi }
	od
}
