// The limit of one customer over daemons, as internal/quota keeps it: each has a
// copy of one bucket, takes its share of it until the others know, and leaves to
// unreachable daemons their fraction. Daemons lose and regain contact and restart at any
// time. Checked against the bucket that one daemon alone would keep.
//
// A bucket of 4 units, refilled by 2 a tick, 2 daemons: a share or fraction is a half.
//
// variants: NO_SHARE KEEP_ALL REFILL_ALL START_FULL

#define BURST 4
#define RATE 2
#define SLACK 2  // the last request of each daemon may exceed its share
#define TICKS 7

bool touch = true;
short level[2];   // copies
byte mine[2];     // taken, and not known to the other
short truth = BURST;
bool over = false;

inline take(i) {
	atomic {
		if
#ifdef NO_SHARE
		:: level[i] > 0
#else
		:: touch && 2 * mine[i] < level[i] + mine[i]
		:: !touch && level[i] > 0
#endif
			-> level[i]--; mine[i]++; truth--;
			over = over || truth < -SLACK
		fi
	}
}

// tell gives what each has taken to the other.
inline tell() {
	atomic {
		touch ->
		level[0] = level[0] - mine[1];
		level[1] = level[1] - mine[0];
		mine[0] = 0; mine[1] = 0
	}
}

// cut makes the daemons unreachable, after they have sent each other what they took: what
// is taken between the last message and the moment at which the silence is noticed is bounded
// by the shares, and is part of the tolerance in the tests of the package.
inline cut() {
	atomic {
		touch && mine[0] == 0 && mine[1] == 0 ->
		touch = false;
#ifndef KEEP_ALL
		if :: level[0] > 0 -> level[0] = level[0] / 2 :: else fi;
		if :: level[1] > 0 -> level[1] = level[1] / 2 :: else fi
#endif
	}
}

inline heal() {
	atomic {
		!touch -> touch = true;
		mine[0] = 0; mine[1] = 0
	}
}

inline grow(i) {
#ifdef REFILL_ALL
	level[i] = level[i] + RATE;
	if :: level[i] > BURST -> level[i] = BURST :: else fi
#else
	if
	:: touch -> level[i] = level[i] + RATE;
		if :: level[i] > BURST -> level[i] = BURST :: else fi
	:: !touch -> level[i] = level[i] + RATE / 2;
		if :: level[i] > BURST / 2 -> level[i] = BURST / 2 :: else fi
	fi
#endif
}

inline restart(i) {
	atomic {
		touch && mine[0] == 0 && mine[1] == 0 ->
#ifdef START_FULL
		level[i] = BURST
#else
		level[i] = 0 // what the tolerance allows beside is not in this model
#endif
	}
}

active proctype System() {
	byte ticks = 0;
	level[0] = BURST; level[1] = BURST;
	do
	:: take(0)
	:: take(1)
	:: tell()
	:: cut()
	:: heal()
	:: restart(0)
	:: restart(1)
	:: atomic {
		ticks < TICKS -> ticks++;
		grow(0); grow(1);
		truth = truth + RATE;
		if :: truth > BURST -> truth = BURST :: else fi
	}
	:: ticks == TICKS -> break
	od;
	assert(!over)
}
