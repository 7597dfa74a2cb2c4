// The limit of one customer across daemons, as internal/quota enforces it. Each daemon
// has a copy of one token bucket. It admits at most its share of the bucket until the
// other daemon knows what it admitted, and while the other is unreachable it uses only
// its part of the limit. Daemons become unreachable and reachable again, and restart, at
// any time. Checked against the single bucket that one daemon alone would have.
//
// A bucket of 4 units, refilled by 2 a tick, 2 daemons: a share and a part are one half.
//
// variants: NO_SHARE KEEP_ALL REFILL_ALL START_FULL

#define BURST 4
#define RATE 2
#define SLACK 2  // the last request admitted by each daemon may exceed its share
#define TICKS 7

bool touch = true;
short level[2];   // copies of the bucket
byte mine[2];     // units admitted here that the other daemon does not know of
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

// tell exchanges what each daemon has admitted.
inline tell() {
	atomic {
		touch ->
		level[0] = level[0] - mine[1];
		level[1] = level[1] - mine[0];
		mine[0] = 0; mine[1] = 0
	}
}

// cut makes the daemons unreachable for each other, right after an exchange. What they
// admit between the last exchange and the detection of the failure is bounded by the
// shares, and is part of the tolerance in the tests of the package.
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
		level[i] = 0 // the rest of the tolerance is not modelled
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
