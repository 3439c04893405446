/*
 * Memory of an engine. One stream; its caller may leave, its owner may die,
 * the keeper may be replaced, messages overtake each other, cancels get lost.
 * Promise: when nothing moves any more, nothing is held for a caller who is
 * gone; nobody's stream is cancelled while its owner claims it and its
 * caller stays. Bounds: one owner death, one keeper change, CANCELS lost.
 */
#define CANCELS 2

/* A living owner claims again within the grace. */
#ifdef MISTAKE_NO_GRACE
#define graceIsOver true
#else
#define graceIsOver (!ownerAlive || wantsCancel)
#endif

bool callerThere = true;
bool ownerAlive = true;
bool held = false;
bool ended = false;          /* the answer was given whole */
bool wrongly = false;        /* cancelled although claimed and wanted */
byte lost = 0;
bool claimed = false;        /* what the present keeper knows */
bool sentOrder = false;
bool wantsCancel = false;    /* the owner repeats its cancel until it is confirmed */
bool keeperChanged = false;

chan toEngine = [1] of { bit };   /* the decode order, which may be late */

active proctype caller() {
	if
	:: callerThere = false
	:: ended
	fi
}

active proctype owner() {
	toEngine!1; sentOrder = true; claimed = true;
	do
	:: !ownerAlive -> break
	:: ownerAlive && ended -> break
	:: atomic { ownerAlive && !callerThere && !wantsCancel && !ended -> wantsCancel = true;
#ifndef MISTAKE_CANCEL_ONCE
		claimed = false
#endif
		}
	:: atomic { ownerAlive && wantsCancel && held ->
		if
#ifndef MISTAKE_CANCEL_ONCE
		:: lost < CANCELS -> lost++
		:: held = false
#else
		:: wantsCancel = false /* sent once, and lost */; break
		:: held = false
#endif
		fi }
	:: ownerAlive && wantsCancel && !held && empty(toEngine) -> break
	od
}

active proctype death() {
	if
	:: atomic { ownerAlive = false; claimed = false }
	:: true
	fi
}

active proctype engine() {
	do
	:: toEngine?_ -> held = true
	:: atomic { held && callerThere && ownerAlive -> held = false; ended = true }
	:: timeout -> break
	od
}

/* The keeper's report shows what is held; unclaimed past the grace it is cancelled. */
active proctype keeper() {
	do
	:: atomic { !keeperChanged -> keeperChanged = true; claimed = false /* empty memory */ }
	:: atomic { keeperChanged && ownerAlive && !wantsCancel && !ended -> claimed = true /* claims come again within the grace */ }
	:: atomic { claimed && !ownerAlive -> claimed = false /* a claim that is not renewed lapses */ }
#ifndef MISTAKE_NO_ORPHAN_SEARCH
	:: atomic { held && !claimed && graceIsOver ->
		if
		:: ownerAlive && callerThere -> wrongly = true
		:: else
		fi;
		held = false }
#endif
	:: timeout -> break
	od
}

/* Judges once nothing can move. */
active proctype judge() {
	timeout;
	assert(!(held && (!callerThere || !ownerAlive)));
	assert(!wrongly)
}
