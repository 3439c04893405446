/*
 * Keys that are taken away, and the evidence on which a host lets requests
 * in. A directory publishes version 2, which takes a key away; a reader asks
 * the directory; a host asks the reader, or hears of nothing. Messages may
 * take any time, or be lost; either process may stand still between any two
 * of its steps. Invariant: no request that was sent later than the bound
 * after the key was taken away is let in. The same step stands for a request
 * that version 2 alone allows: a host that knows version 1 calls it wrong for
 * good under the same condition, and must not once it was sent later than the
 * bound after version 2 was acknowledged.
 * Seeded mistakes: MISTAKE_ANSWERED (evidence counts from the answer, not
 * from the asking), MISTAKE_READER_ANSWERED (the same at the reader),
 * MISTAKE_NO_AGE (a peer's answer counts as fresh, whatever its age),
 * MISTAKE_NO_VERSION (the age is taken over without the version that it
 * belongs to), MISTAKE_WATCH (a watch that says nothing is taken for
 * evidence), MISTAKE_OLD_NOW (the clock is read before the request comes),
 * MISTAKE_NO_NAME (an answer to an earlier question is taken for one to the
 * last), MISTAKE_SLEEPING_CLOCK (the host's ages rest on a clock that stands
 * still while its machine sleeps), MISTAKE_REFUSE_OLD (a request is called
 * wrong from whatever version the host knows).
 */
#define bound 1       /* ticks after which a key is refused everywhere */
#define most 4        /* ticks played */
#ifdef MISTAKE_NO_NAME
#define isNamed true
#else
#define isNamed (answered == ask)
#endif
#define mostAsks 2    /* questions of the host */

byte now = 0;
#ifdef MISTAKE_SLEEPING_CLOCK
/* Ticks in which the host's machine slept. */
byte slept = 0;
#define hostNow (now - slept)
#else
#define hostNow now
#endif
byte published = 1;
/* When version 2 was acknowledged. */
byte revokedAt = 255;

/* The reader. */
byte readerVersion = 1;
byte readerConfirmedAt = 0;

/* The host. */
byte hostVersion = 1;
byte hostConfirmedAt = 0;

chan question = [1] of {byte};
chan answer = [1] of {byte, byte, byte};

active proctype Time() {
	do
	:: now < most -> now++
#ifdef MISTAKE_SLEEPING_CLOCK
	:: now < most -> atomic { now++; slept++ }
#endif
	:: now == most -> break
	od
}

active proctype Operator() {
	atomic {
		published = 2;
		revokedAt = now
	}
}

active proctype Reader() {
	byte askedAt, seen, ask;
end:	do
	:: now < most ->
		askedAt = now;
		seen = published;
		atomic {
			readerVersion = seen;
#ifdef MISTAKE_READER_ANSWERED
			readerConfirmedAt = now;
#else
			readerConfirmedAt = askedAt;
#endif
			askedAt = 0;
			seen = 0
		}
	:: question?ask ->
		/* Both are read in one turn of the process. */
		atomic {
			if
			:: answer!ask, (now - readerConfirmedAt), readerVersion
			:: skip /* the answer is lost */
			fi;
			ask = 0
		}
#ifdef MISTAKE_WATCH
	:: readerConfirmedAt = now
#endif
	od
}

active proctype Host() {
	byte askedAt, ageMs, version, ask, answered;
	bool isWaiting = false;
	byte arrivedAt;
end:	do
	:: !isWaiting && nempty(answer) ->
		answer?_,_,_
	:: !isWaiting && now < most && ask < mostAsks && nfull(question) ->
		atomic {
			askedAt = hostNow;
			ask++;
			isWaiting = true
		};
		question!ask
	:: isWaiting && nempty(answer) ->
		atomic {
			answer?answered,ageMs,version;
#ifndef MISTAKE_NO_VERSION
			if
			:: version > hostVersion -> hostVersion = version
			:: else
			fi;
#endif
#ifdef MISTAKE_ANSWERED
			askedAt = hostNow;
#endif
#ifdef MISTAKE_NO_AGE
			ageMs = 0;
#endif
			if
			:: isNamed && askedAt >= ageMs && askedAt - ageMs > hostConfirmedAt -> hostConfirmedAt = askedAt - ageMs
			:: else
			fi;
			isWaiting = !isNamed;
			ageMs = 0;
			version = 0;
			answered = 0
		}
	:: isWaiting -> isWaiting = false /* given up */
	:: now <= most ->
		/* A request with the key comes; it was sent now at the latest. */
#ifdef MISTAKE_OLD_NOW
		arrivedAt = hostNow;
		atomic {
#else
		atomic {
			arrivedAt = hostNow;
#endif
			if
			:: hostVersion == 1 && hostConfirmedAt + bound >= arrivedAt ->
				assert(revokedAt == 255 || now <= revokedAt + bound)
#ifdef MISTAKE_REFUSE_OLD
			:: hostVersion == 1 ->
				assert(revokedAt == 255 || now <= revokedAt + bound)
#endif
			:: else
			fi;
			arrivedAt = 0
		};
		if
		:: now == most -> break
		:: else
		fi
	od
}
