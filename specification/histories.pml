/*
 * What a host that reads the directory, and one that hears of it from the
 * first, believe of one endpoint, while the directory comes back from copies:
 * revisions go back and are given out again, and its epoch rises. Each tick
 * the directory does one thing, then the reader reads and the hearer hears;
 * either may miss a tick. Invariants: a host that has known the endpoint to
 * have left never believes again that it takes work; some ticks after the
 * directory is calm no host believes that. Seeded mistakes:
 * MISTAKE_REVISION_ALONE (positions are ordered by revision alone),
 * MISTAKE_WATCH_GOES_ON (a watch goes on from one history into another),
 * MISTAKE_BELIEVE_COPY (a copy's "ready" is believed),
 * MISTAKE_DELTA_BY_REVISION (what is told is chosen by revision alone).
 */
#define most 12      /* ticks played */
#define mostRevision 5
#define mostEpoch 2  /* returns */
#define settled 4    /* ticks: the endpoint writes again (1), the reader and the hearer may each miss one */

/* The directory, and the copy that it may come back from. */
byte epoch = 0;
byte revision = 1;
bool isLeaving = false;
byte written = 1;
byte copyRevision = 1;
bool copyLeaving = false;
byte copyWritten = 1;

/* The endpoint. */
bool hasLeft = false;
byte calmFor = 0;

typedef Host {
	byte epoch;
	byte revision;
	/* The entry as it is known, and where it stands. */
	bool isLeaving;
	byte entryEpoch;
	byte entryRevision;
	/* What left stays so, whatever a copy says up to here. */
	bool isContradicted;
	byte base;
	bool hasKnown;
	bool hasMissed
};

Host reader;
Host hearer;

inline believes(host, result) {
	result = !host.isLeaving && !(host.isContradicted && host.entryRevision <= host.base)
}

/* A host follows a later history: what it knows to have left contradicts the copy. */
inline follow(host, at, from) {
	if
	:: host.epoch < at ->
#ifndef MISTAKE_BELIEVE_COPY
		if
		:: host.isLeaving || host.isContradicted ->
			host.base = (from < host.entryRevision -> from : host.entryRevision);
			host.isContradicted = true
		:: else
		fi;
#endif
		host.epoch = at; host.revision = 0
	:: else
	fi
}

inline put(host, at, rev, leaving) {
	if
#ifdef MISTAKE_REVISION_ALONE
	:: rev >= host.entryRevision ->
#else
	:: at > host.entryEpoch || (at == host.entryEpoch && rev >= host.entryRevision) ->
#endif
		host.entryEpoch = at; host.entryRevision = rev; host.isLeaving = leaving
	:: else
	fi;
	if
	:: host.isLeaving -> host.hasKnown = true
	:: else
	fi
}

inline turnWorld() {
	calmFor = (calmFor < settled -> calmFor + 1 : settled);
	if
	:: revision < mostRevision -> revision++
	:: revision < mostRevision && !hasLeft ->
		revision++; isLeaving = true; written = revision; hasLeft = true; calmFor = 0
	:: copyRevision = revision; copyLeaving = isLeaving; copyWritten = written
	:: epoch < mostEpoch ->
		epoch++; revision = copyRevision; isLeaving = copyLeaving; written = copyWritten; calmFor = 0
	:: hasLeft && !isLeaving && revision < mostRevision ->
		revision++; isLeaving = true; written = revision; calmFor = 0
	:: hasLeft && !isLeaving && revision < mostRevision && calmFor >= 1 ->
		/* it writes again within a tick of the return */
		revision++; isLeaving = true; written = revision; calmFor = 0
	:: true
	fi
}

inline list(host) {
	follow(host, epoch, revision);
	put(host, epoch, written, isLeaving);
#ifdef MISTAKE_REVISION_ALONE
	host.revision = (revision > host.revision -> revision : host.revision)
#else
	host.revision = revision
#endif
}

inline read(host) {
	if
#if defined(MISTAKE_WATCH_GOES_ON) || defined(MISTAKE_REVISION_ALONE)
	:: host.revision <= revision ->
#else
	:: host.epoch == epoch && host.revision <= revision ->
#endif
		if
		:: written > host.revision -> put(host, epoch, written, isLeaving)
		:: else
		fi;
#ifdef MISTAKE_WATCH_GOES_ON
		host.epoch = epoch;
#endif
		host.revision = revision
	:: else -> list(host)
	fi
}

/* The reader tells what it knows and the hearer does not. */
inline hear() {
	if
#ifdef MISTAKE_REVISION_ALONE
	:: reader.revision > hearer.revision ->
		if
		:: reader.entryRevision > hearer.revision -> put(hearer, reader.entryEpoch, reader.entryRevision, reader.isLeaving)
		:: else
		fi;
		hearer.revision = reader.revision
#else
	:: reader.epoch > hearer.epoch || (reader.epoch == hearer.epoch && reader.revision > hearer.revision) ->
		before = hearer.revision;
		beforeEpoch = hearer.epoch;
		follow(hearer, reader.epoch, reader.revision);
		if
		:: reader.isContradicted && !hearer.isContradicted -> hearer.isContradicted = true; hearer.base = reader.base
		:: else
		fi;
		if
#ifdef MISTAKE_DELTA_BY_REVISION
		:: reader.entryRevision > before ->
#else
		:: reader.entryEpoch > beforeEpoch || reader.entryRevision > before ->
#endif
			put(hearer, reader.entryEpoch, reader.entryRevision, reader.isLeaving)
		:: else
		fi;
		hearer.revision = reader.revision
#endif
	:: else
	fi
}

active proctype Play() {
	byte tick = 0;
	byte before = 0;
	byte beforeEpoch = 0;
	bool atReader;
	bool atHearer;
	d_step {
		reader.entryRevision = 1; hearer.entryRevision = 1;
		reader.revision = 1; hearer.revision = 1
	};
	do
	:: tick < most ->
		d_step { tick++ };
		turnWorld();
		if
		:: reader.hasMissed || true -> read(reader); reader.hasMissed = false
		:: !reader.hasMissed -> reader.hasMissed = true
		fi;
		if
		:: hear(); hearer.hasMissed = false
		:: !hearer.hasMissed -> hearer.hasMissed = true
		fi;
		believes(reader, atReader);
		believes(hearer, atHearer);
		assert(!(reader.hasKnown && atReader));
		assert(!(hearer.hasKnown && atHearer));
		assert(!(isLeaving && calmFor >= settled && (atReader || atHearer)))
	:: tick == most -> break
	od
}
