/*
 * One host's share of a retry allowance: one repeat per window of W ticks. The
 * host spends it, or gives it to another host, which uses it within LIFE ticks
 * of having asked, or returns it. A repeat arrives within TRANSIT ticks of its
 * last check. Requests, gifts and returns may be late or lost; either host may
 * restart and lose its memory. Promise: two arrivals paid by the share are at
 * least W ticks apart. Bounds: END ticks, one restart of each host. Seeded
 * mistakes: MISTAKE_SPEND_AT_START (a host that restarts uses its share at
 * once), MISTAKE_LIFE_FROM_RECEIPT (a gift's life counts from its arrival),
 * MISTAKE_COUNT_FROM_GIFT (what was given counts for one window from when it
 * was given), MISTAKE_RETURN_USED (a gift is returned though it was used),
 * MISTAKE_SPEND_RETURNED (a gift that was returned is used).
 */
#define W 3
#define LIFE 1
#define TRANSIT 1
#define END 8
#define NONE 255

byte now = 0;
/* When the share was last spent or given. */
byte takenAt = NONE;
byte beforeThat = NONE;
byte startedAt = 0;
bool isSettled = true;      /* the first start of the fleet */
/* The other host's gift. */
byte validUntil = NONE;
byte givenAt = NONE;
/* Latest arrival of repeats under way, of the owner and of the other host. */
byte dueBy[2] = NONE;
byte lastArrival = NONE;

chan asks = [1] of { byte };             /* asked at */
chan gifts = [2] of { byte, byte };      /* asked at, given at */
chan returns = [2] of { byte };          /* given at */

#ifdef MISTAKE_COUNT_FROM_GIFT
#define busyFor W
#else
#define busyFor (W + LIFE + TRANSIT)
#endif

#ifdef MISTAKE_SPEND_AT_START
#define mayUse true
#else
#define mayUse (isSettled || now >= startedAt + W + LIFE + TRANSIT)
#endif

#ifdef MISTAKE_LIFE_FROM_RECEIPT
#define expiry(asked) (now + LIFE)
#else
#define expiry(asked) (asked + LIFE)
#endif

#define isLeft (mayUse && (takenAt == NONE || now >= takenAt + busyFor))
#define take() beforeThat = takenAt; takenAt = now

active proctype clock() {
	do
	:: now < END && (dueBy[0] == NONE || now < dueBy[0]) && (dueBy[1] == NONE || now < dueBy[1]) -> now++
	:: now == END -> break
	od
}

active proctype network() {
	byte time, given;
end:
	do
	:: atomic { dueBy[0] != NONE -> dueBy[0] = NONE; assert(lastArrival == NONE || now >= lastArrival + W); lastArrival = now }
	:: atomic { dueBy[1] != NONE -> dueBy[1] = NONE; assert(lastArrival == NONE || now >= lastArrival + W); lastArrival = now }
	:: atomic { asks?time /* lost */ }
	:: atomic { gifts?time,given /* lost */ }
	:: atomic { returns?time /* lost */ }
	od
}

active proctype owner() {
	byte asked, given;
	bool hasRestarted = false;
end:
	do
	:: atomic { now < END && isLeft && dueBy[0] == NONE -> take(); dueBy[0] = now + LIFE + TRANSIT }
	:: atomic { asks?asked ->
		if
		:: isLeft && nfull(gifts) -> take(); gifts!asked,now
		:: !isLeft || full(gifts) -> skip
		fi }
	:: atomic { returns?given ->
		if
		:: takenAt == given -> takenAt = beforeThat
		:: else
		fi }
	:: atomic { !hasRestarted && now < END -> hasRestarted = true; takenAt = NONE; beforeThat = NONE; startedAt = now; isSettled = false }
	od
}

active proctype borrower() {
	byte asked, given;
	bool hasRestarted = false;
end:
	do
	:: atomic { now < END && nfull(asks) -> asks!now }
	:: atomic { gifts?asked,given ->
		if
		:: now < expiry(asked) -> validUntil = expiry(asked); givenAt = given
		:: else
		fi }
	:: atomic { validUntil != NONE && now < validUntil && dueBy[1] == NONE -> dueBy[1] = now + TRANSIT;
#ifndef MISTAKE_RETURN_USED
		givenAt = NONE;
#endif
		validUntil = NONE }
	:: atomic { givenAt != NONE && nfull(returns) -> returns!givenAt; givenAt = NONE;
#ifndef MISTAKE_SPEND_RETURNED
		validUntil = NONE
#endif
		}
	:: atomic { !hasRestarted -> hasRestarted = true; validUntil = NONE; givenAt = NONE }
	od
}
