/*
 * One request that may run once, at the relay: sends to two replicas, each of
 * which may run it, refuse it on its own word, or lose its answer, also long
 * after the relay stopped waiting. Invariants: it runs at most once; a caller
 * that was told "not run" is right for ever; a stream that may continue never
 * runs at two replicas at once.
 * Seeded mistakes: MISTAKE_RESEND (sends again after an unknown outcome),
 * MISTAKE_PROMISE (says "not run" after a byte left), MISTAKE_EMPTY_PROMISE
 * (takes a refusal without the replica's own word for one), MISTAKE_NO_ABORT
 * (continues elsewhere while the first replica still works).
 */
#define replicas 2

mtype = {idle, arriving, running, finished, refused, lost};

mtype at[replicas] = idle;
byte runs = 0;
byte working = 0;
bool toldNotRun = false;
bool mayContinue = false;

/* A request on its way to a replica runs, is refused, or is lost after it ran. */
proctype Replica(byte self) {
	do
	:: atomic {at[self] == arriving -> at[self] = running; runs++; working++}
	:: atomic {at[self] == arriving -> at[self] = refused}
	:: atomic {at[self] == running -> at[self] = finished; working--}
	:: atomic {at[self] == running -> at[self] = lost; working--}
	:: at[self] == finished || at[self] == refused || at[self] == lost -> break
	od
}

proctype Relay() {
	byte next = 0;
	bool mayHaveRun = false;
	bool isOver = false;
	do
	:: !isOver && next < replicas ->
		at[next] = arriving;
		mayHaveRun = true;
		run Replica(next);
		if
		:: at[next] == refused ->
			/* the replica's own word: nothing ran there */
			mayHaveRun = false;
			next++
		:: at[next] == finished -> isOver = true
		:: true ->
			/* silence or a reset: what the replica does now is not known */
#ifdef MISTAKE_RESEND
			next++
#else
			if
			:: mayContinue ->
#ifndef MISTAKE_NO_ABORT
				/* the connection is closed and the replica drops the request before another has it */
				atomic {
					if
					:: at[next] == running -> at[next] = lost; working--
					:: at[next] == arriving -> at[next] = lost
					:: else -> skip
					fi
				}
#endif
				next++
			:: !mayContinue -> isOver = true
			fi
#endif
#ifdef MISTAKE_EMPTY_PROMISE
		:: at[next] == lost ->
			mayHaveRun = false;
			next++
#endif
		fi
	:: isOver || next == replicas -> break
	od;
#ifdef MISTAKE_PROMISE
	toldNotRun = !isOver || true
#else
	toldNotRun = !mayHaveRun && !isOver
#endif
}

init {
	if
	:: mayContinue = true
	:: mayContinue = false
	fi;
	run Relay()
}

active proctype Invariants() {
	assert(mayContinue || runs <= 1);
	assert(working <= 1);
	assert(!(toldNotRun && !mayContinue && runs > 0))
}
